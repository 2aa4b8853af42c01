// Command ryerill is a balancing proxy for services that call services.
package main

import (
	"os"

	"ryerill/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
