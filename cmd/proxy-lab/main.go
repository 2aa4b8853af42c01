// Command proxy-lab is the laboratory of ryerill: it plays deployments in virtual time and on sockets, and measures.
package main

import (
	"os"

	"ryerill/lab/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
