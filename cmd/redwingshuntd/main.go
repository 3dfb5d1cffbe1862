// Command redwingshuntd runs one instance of the router fleet. It reads its
// settings from a YAML file, serves until it receives SIGTERM or SIGINT, and
// then shuts down gracefully; a second signal ends the graceful shutdown early.
//
//	redwingshuntd --settings node-a.yaml
package main

import (
	"os"

	"github.com/redwingshunt/redwingshunt/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) }
