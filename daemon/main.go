package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
)

// The exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1 // it could not start, or an error ended it
	exitUsage    = 2 // wrong options
	exitSettings = 3 // findings in the settings or the document
)

type arguments struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings of this instance, YAML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon for command-line arguments and returns the exit code.
// Findings and usage go to stderr as text, logs as JSON lines.
func Main(args []string, stderr io.Writer) int {
	var options arguments
	command := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	command.Name = "redwingshuntd"
	if _, err := command.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	text, err := os.ReadFile(options.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	settings, findings := parser.Settings(options.Settings, text)
	if len(findings) > 0 {
		fmt.Fprintln(stderr, findings.Error())
		return exitSettings
	}
	if options.Check {
		return exitOK
	}
	return serve(*settings, stderr)
}

func serve(settings redwingshunt.Settings, stderr io.Writer) int {
	logger := slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: settings.Log}))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	abort := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(abort)
	}()
	reserve := newReserve()
	defer runtime.KeepAlive(reserve)
	d, err := New(settings, Options{Logger: logger, Abort: abort})
	if err == nil {
		err = d.Run(ctx)
	}
	var findings redwingshunt.Findings
	switch {
	case errors.As(err, &findings):
		fmt.Fprintln(stderr, findings.Error())
		return exitSettings
	case err != nil:
		logger.Error("stopped by an error", "error", err.Error())
		return exitFailed
	}
	return exitOK
}
