// Package scenarios holds the scenarios that come with the laboratory.
package scenarios

import "embed"

// Files holds the scenarios by file name.
//
//go:embed *.yaml
var Files embed.FS
