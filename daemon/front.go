package daemon

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/allocator"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/governor"
	"github.com/redwingshunt/redwingshunt/relayer"
	"github.com/redwingshunt/redwingshunt/usher"
)

const (
	// headerTimeout limits the time from the start of a connection until its
	// first header is read, unless the document sets a limit.
	headerTime = 5 * time.Second
	// maxHeaderTimeout limits the time for reading a later header, from its
	// first bytes. Until these arrive the idle timeout applies.
	longestHeaderTime = 10 * time.Second
	// idleTimeout limits the time of a connection without a request, unless the
	// document sets a limit. It is longer than callers keep idle connections, so
	// that a request does not arrive while the instance closes its connection.
	idleTime = 2 * time.Minute
	// maxHeaderBytes limits the size of a header, regardless of the document.
	longestHeader = 256 << 10
	// sweepInterval is the interval at which idle connections of callers and
	// upstreams are checked.
	sweepPeriod = time.Second
)

// routeServer serves the routes of the document.
type front struct {
	daemon    *Daemon
	allocator *allocator.Allocator
	carrier   *carrier.Carrier
	relayer   *relayer.Relayer
	usher     *usher.Usher
	server    *http.Server
	ready     *http.Server
	upstreams atomic.Bool // at least one has been usable since the start
	bounds    bounds
	limit     atomic.Int64 // current limit of concurrent requests, at most that of bounds; zero until govern runs
	withdrawn atomic.Bool  // overloaded: reports not ready to the load balancer
}

func newFront(d *Daemon) *front {
	bounds := boundsOf(d.settings)
	f := &front{
		daemon:  d,
		usher:   usher.New(bounds.kept, bounds.open),
		bounds:  bounds,
		carrier: carrier.New(carrier.Options{Header: d.options.Dialect.Request, Kept: bounds.idle}),
		allocator: allocator.New(allocator.Options{
			Members: d.members, Link: d.linker, Configuration: d.configured, Clock: wallClock{},
			Budget: d.settings.Repeats, Logger: d.logger,
		}),
	}
	f.relayer = relayer.New(relayer.Options{
		Configuration: d.configured, Placer: f.allocator, Suspects: d.guarantees.notifier, Roll: d.enroller,
		Carrier: f.carrier, Dialect: d.options.Dialect, Logger: d.logger, Observe: d.metrics.routes.observe,
		Limit: func() int { return int(f.limit.Load()) }, Room: d.settings.Memory / roomShare,
	})
	d.enroller.Watch(func(usable []redwingshunt.UpstreamState) {
		f.upstreams.Store(f.upstreams.Load() || len(usable) > 0)
		f.allocator.SetUpstreams(usable)
	})
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: longestHeaderTime,
		MaxHeaderBytes:    longestHeader,
		ConnContext:       relayer.WithConnection,
		ConnState:         f.usher.Note, // tracks the connections that sweepCallers checks
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	f.ready = &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: adminTimeout, MaxHeaderBytes: adminHeader}
	return f
}

// bodyMemoryDivisor sets the part of the memory, 1/bodyMemoryDivisor, that the
// bodies of long requests and answers may take.
const roomShare = 4

const (
	// requestMemoryBytes is the memory budget for one running request. Requests
	// with their connections usually need less, which leaves a part of the memory
	// for everything else.
	requestMemory = 256 << 10
	// connectionMemoryBytes is the memory budget for one kept connection of a
	// caller. The connection itself takes 18 KiB; the rest is for the requests on
	// other connections and the overhead of garbage collection.
	connectionMemory = 256 << 10
)

// bounds limit the requests and connections of one instance. Zero means
// unlimited.
type bounds struct {
	requests int // concurrent requests
	kept     int // connections of callers above which an answer closes its connection
	open     int // connections of callers
	idle     int // idle connections to upstreams
}

// boundsOf returns the bounds set in the settings. Those that are not set are
// derived from the memory limit, and all are capped by the limit of file
// descriptors.
func boundsOf(settings redwingshunt.Settings) bounds {
	b := bounds{requests: settings.Most, kept: settings.Kept}
	if b.requests == 0 {
		b.requests = int(settings.Memory / requestMemory)
	}
	if b.kept == 0 {
		b.kept = int(settings.Memory / connectionMemory)
	}
	if b.kept > 0 && b.requests > 0 {
		b.open = b.kept + b.requests
	}
	if settings.Files > 0 {
		b.share(max(settings.Files-filesReserve, settings.Files/2))
	}
	return b
}

// reservedFiles is the number of file descriptors for everything but connections
// of callers and upstreams: links to other instances, the log and other files.
const filesReserve = 600

// capByFiles lowers the bounds to fit a number of file descriptors: half of them
// for connections of callers, and a quarter each for requests in flight and for
// idle connections to upstreams.
func (b *bounds) share(files int) {
	atMost := func(bound *int, most int) {
		if *bound == 0 || *bound > most {
			*bound = most
		}
	}
	atMost(&b.open, files/2)
	atMost(&b.kept, files/2)
	atMost(&b.requests, files/4)
	atMost(&b.idle, files/4)
}

// hasSeenUpstreams reports whether any upstream has been usable since the start.
func (f *front) equipped() bool { return f.upstreams.Load() }

// serve serves one request of a caller.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	if f.usher.Crowded() {
		w.Header().Set("Connection", "close")
	}
	f.relayer.ServeHTTP(w, r)
}

// start starts serving. Everything but the server for callers, which shutdown
// stops, ends with ctx.
func (f *front) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		return ignoreClosed(f.server.Serve(f.daemon.secure(f.usher.Door(f.daemon.sockets.routes))))
	})
	if socket := f.daemon.sockets.ready; socket != nil {
		group.Go(func() error { return serveUntil(ctx, f.ready, socket) })
	}
	group.Go(func() error { f.allocator.Run(ctx); return nil })
	group.Go(func() error { f.sweep(ctx); return nil })
	group.Go(func() error { f.govern(ctx); return nil })
}

func (f *front) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.carrier.Close()
			return
		case <-ticker.C:
			f.carrier.Sweep()
			f.sweepCallers()
		}
	}
}

// govern adjusts the limit of concurrent requests to the load of the processor:
// to the delays of timers and network events, and to the number of callers that
// hang up before their requests are read.
func (f *front) govern(ctx context.Context) {
	core := governor.New(f.bounds.requests)
	f.limit.Store(int64(core.Limit()))
	echo, err := newEcho()
	if err != nil {
		f.daemon.logger.Error("cannot create the pipe for measuring network delays", "error", err.Error())
		return
	}
	defer echo.close()
	go echo.listen()
	var endedBefore, abandonedBefore, refusedBefore int64
	var told time.Time
	for {
		f.limit.Store(int64(core.Limit()))
		due := time.Now().Add(governor.Period)
		redwingshunt.Pause(ctx, governor.Period)
		if ctx.Err() != nil {
			return
		}
		running := f.relayer.Running()
		ended, abandoned, refused := f.relayer.Ended()
		sample := governor.Sample{
			Late: time.Since(due), Network: echo.late(), Running: running, Ended: int(ended - endedBefore), Abandoned: int(abandoned - abandonedBefore),
			Refused: int(refused - refusedBefore), Shut: f.usher.Shut(),
		}
		endedBefore, abandonedBefore, refusedBefore = ended, abandoned, refused
		change := core.Observe(sample)
		if withdrawn := core.Withdrawn(); f.withdrawn.Swap(withdrawn) != withdrawn {
			f.daemon.logger.Info("readiness for new connections changed", "ready", !withdrawn, "late", core.Late().String(),
				"running", running, "limit", core.Limit(), "refused", refused, "open", f.usher.Open())
		}
		switch change {
		case governor.Lowered:
			f.daemon.logger.Warn("processor overloaded; limit of concurrent requests lowered",
				"late", core.Late().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.Restored:
			f.daemon.logger.Info("processor no longer overloaded; limit of concurrent requests restored",
				"late", core.Late().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.None:
			if core.Limit() < f.bounds.requests && due.Sub(told) >= loadPeriod {
				told = due
				f.daemon.logger.Info("concurrent requests limited by the processor load", "late", core.Late().String(),
					"abandoned", core.Abandoned(), "running", running, "limit", core.Limit(), "open", f.usher.Open(),
					"taken", f.usher.Taken(), "ended", ended, "opened", f.carrier.Counts().Opened)
			}
		}
	}
}

// overloadLogInterval is the interval of log messages while an instance is
// overloaded.
const loadPeriod = time.Second

// sweepCallers closes connections of callers that exceed the idle or header
// timeout.
func (f *front) sweepCallers() {
	limits := usher.Limits{Idle: idleTime, First: headerTime}
	if snapshot := f.daemon.configured.Current(); snapshot != nil {
		limits.Idle = cmp.Or(snapshot.Document.Limits.Idle, limits.Idle)
		limits.First = cmp.Or(snapshot.Document.Limits.HeaderTime, limits.First)
	}
	if closed := f.usher.Sweep(time.Now(), limits); closed > 0 {
		f.daemon.logger.Debug("closed caller connections without a request", "closed", closed,
			"idle", limits.Idle.String(), "first", limits.First.String(), "open", f.usher.Open())
	}
}

// serveReady answers the readiness check of a load balancer.
func (f *front) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := f.daemon.Ready()
	if reason == "" && f.withdrawn.Load() {
		reason = "the instance is overloaded"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdown waits for running requests until ctx ends and aborts the rest.
func (f *front) shutdown(ctx context.Context) {
	f.relayer.Stop()
	if err := f.server.Shutdown(ctx); err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	f.daemon.logger.Warn("requests still running at the drain limit", "running", f.relayer.Running())
	f.relayer.Abort()
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if f.server.Shutdown(last) != nil {
		_ = f.server.Close()
	}
}

// routeAbortTimeout limits the time in which aborted requests of routes notify
// their callers.
const lastWords = 200 * time.Millisecond
