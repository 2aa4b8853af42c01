// Package scenarios holds the worlds that come with the laboratory.
package scenarios

import "embed"

// Files are the worlds, by file name.
//
//go:embed *.yaml
var Files embed.FS
