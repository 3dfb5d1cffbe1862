// Command redwingshunt is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/redwingshunt/redwingshunt/cmd/redwingshunt/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Main(ctx, commander.NewConsole(), os.Args[1:])
	stop()
	os.Exit(int(code))
}
