// Command redwingshunt-platform runs one instance of the router fleet on the
// users' platform. It reads the settings file that the platform writes.
package main

import (
	"os"

	"github.com/redwingshunt/redwingshunt/platform"
)

func main() { os.Exit(platform.Main(os.Getenv(platform.NodeFile), os.Stderr)) }
