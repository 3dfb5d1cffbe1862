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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
	"github.com/redwingshunt/redwingshunt/parser"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1 // failed to start, or stopped by an error
	exitUsage    = 2 // invalid command-line arguments
	exitSettings = 3 // findings in the settings or the document
)

type arguments struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings of this instance, YAML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon with command-line arguments and returns its exit code. It
// writes findings and usage to stderr as text, and logs as JSON lines.
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
	return Supervise(*settings, Options{}, nil, stderr)
}

// Supervise runs a daemon until SIGTERM or SIGINT and returns the exit code. A
// second signal ends the graceful shutdown early. After a failure of the data
// folder the daemon is restarted if the settings say so. Unless attach is nil, it
// is called each time the daemon listens, to start further servers of the
// instance, which end with its context.
func Supervise(settings redwingshunt.Settings, options Options, attach func(context.Context, *Daemon) error, stderr io.Writer) int {
	logs := logger.New(stderr, settings.Log)
	defer logs.Close()
	log := slog.New(logs.Handler()).With("instance", string(settings.Name))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			log.Info("settings may have changed; they are read at the next start", "signal", "SIGHUP")
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	abort := make(chan struct{})
	go func() {
		received := <-signals
		log.Info("stopping", "signal", received.String())
		stop()
		<-signals
		close(abort)
	}()
	ballast := newBallast(settings)
	defer runtime.KeepAlive(ballast)
	if settings.Memory > 0 {
		// The ballast counts against the limit but takes no resident memory.
		debug.SetMemoryLimit(settings.Memory/100*softMemoryPercent + int64(len(ballast)))
	}
	options.Logger, options.Abort = log, abort
	err := runOnce(ctx, settings, options, attach)
	for settings.Restart && errors.Is(err, errRestart) && ctx.Err() == nil {
		log.Warn("restarting after a failure", "error", err.Error(), "after", restartDelay.String())
		redwingshunt.Pause(ctx, restartDelay)
		err = runOnce(ctx, settings, options, attach)
	}
	if ctx.Err() != nil && errors.Is(err, errRestart) {
		err = nil // stopped while waiting for its data folder
	}
	var findings redwingshunt.Findings
	switch {
	case errors.As(err, &findings):
		fmt.Fprintln(stderr, findings.Error())
		return exitSettings
	case err != nil:
		log.Error("stopped by an error", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// softMemoryPercent is the percentage of the memory limit above which the garbage
// collector runs more often. The rest is for thread stacks and the program
// itself.
const softMemoryPercent = 70

// restartDelay is the delay before the daemon restarts after a disk failure.
const restartDelay = 500 * time.Millisecond

// errRestart marks errors after which the instance can restart: its data folder
// may be usable again or be replaced by a new one.
var errRestart = errors.New("the data folder of this instance cannot be used")

// runOnce starts a daemon and runs it until it stops.
func runOnce(ctx context.Context, settings redwingshunt.Settings, options Options, attach func(context.Context, *Daemon) error) error {
	d, err := New(settings, options)
	if err != nil {
		return err
	}
	if attach != nil {
		attached, detach := context.WithCancel(context.Background())
		defer detach()
		if err := attach(attached, d); err != nil {
			return err
		}
	}
	return d.Run(ctx)
}
