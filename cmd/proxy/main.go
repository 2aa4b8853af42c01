// Command proxy is a balancing proxy for services that call services.
package main

import (
	"os"

	"ryerill/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
