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
	// headerTime is how long a new connection may take to bring a header where
	// the document names no limit.
	headerTime = 5 * time.Second
	// longestHeaderTime bounds the time for a later header, from its first
	// bytes; a connection that brings none is bounded as an idle one.
	longestHeaderTime = 10 * time.Second
	// idleTime is how long a connection may carry no request where the document
	// names no limit; longer than callers keep connections, so that a request
	// does not cross the end of its connection.
	idleTime = 2 * time.Minute
	// longestHeader bounds a header in bytes whatever the document says.
	longestHeader = 256 << 10
	// sweepPeriod is how often connections to upstreams are looked through.
	sweepPeriod = time.Second
)

// front serves callers by the routes of the document.
type front struct {
	daemon    *Daemon
	allocator *allocator.Allocator
	carrier   *carrier.Carrier
	relayer   *relayer.Relayer
	usher     *usher.Usher
	server    *http.Server
	ready     *http.Server
	upstreams atomic.Bool // some were heard of
	bounds    bounds
	limit     atomic.Int64 // of requests at once now, within bounds; zero until it is known
	withdrawn atomic.Bool  // the balancer is to send new connections elsewhere
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
		ConnState:         f.usher.Note, // which bounds the time between requests
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	f.ready = &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: adminTimeout, MaxHeaderBytes: adminHeader}
	return f
}

// roomShare is the part of the memory that long requests and answers may take.
const roomShare = 4

const (
	// requestMemory is what a request and its connections take of an instance at
	// most times, in bytes; a part of the memory is left for everything else.
	requestMemory = 256 << 10
	// connectionMemory is the memory in bytes for which one connection of a
	// caller is kept. It holds 18 KiB itself; the rest is for the requests of
	// others and for what collecting garbage needs.
	connectionMemory = 256 << 10
)

// bounds are what callers may have at one instance; zero is unlimited, each.
type bounds struct {
	requests int // at once
	kept     int // open connections beyond which an answer closes its own
	open     int // connections
	idle     int // kept connections to upstreams
}

// boundsOf returns the bounds of the settings, or else those of the memory.
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

// filesReserve are the descriptors for everything but callers and upstreams:
// links to other instances, the log, the files of the process.
const filesReserve = 600

// share bounds all connections by descriptors: half of them for callers, a
// quarter each for requests under way and for kept connections to upstreams.
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

// equipped reports whether upstreams have been heard of.
func (f *front) equipped() bool { return f.upstreams.Load() }

// serve serves one request of a caller.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	if f.usher.Crowded() {
		w.Header().Set("Connection", "close")
	}
	f.relayer.ServeHTTP(w, r)
}

// start serves until the context ends.
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

// govern bounds the requests at once by how late a timer is and how many
// callers go before their requests are read.
func (f *front) govern(ctx context.Context) {
	core := governor.New(f.bounds.requests)
	f.limit.Store(int64(core.Limit()))
	echo, err := newEcho()
	if err != nil {
		f.daemon.logger.Error("no pipe to measure the lateness of the network", "error", err.Error())
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
			f.daemon.logger.Warn("the processor does not carry the requests; fewer are served at once",
				"late", core.Late().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.Restored:
			f.daemon.logger.Info("the processor carries the requests again",
				"late", core.Late().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.None:
			if core.Limit() < f.bounds.requests && due.Sub(told) >= loadPeriod {
				told = due
				f.daemon.logger.Info("requests at once are bounded by the processor", "late", core.Late().String(),
					"abandoned", core.Abandoned(), "running", running, "limit", core.Limit(), "open", f.usher.Open(),
					"taken", f.usher.Taken(), "ended", ended, "opened", f.carrier.Counts().Opened)
			}
		}
	}
}

// loadPeriod is the time between two lines about an instance under pressure.
const loadPeriod = time.Second

// sweepCallers closes the connections of callers that are beyond the limits of
// the document.
func (f *front) sweepCallers() {
	limits := usher.Limits{Idle: idleTime, First: headerTime}
	if snapshot := f.daemon.configured.Current(); snapshot != nil {
		limits.Idle = cmp.Or(snapshot.Document.Limits.Idle, limits.Idle)
		limits.First = cmp.Or(snapshot.Document.Limits.HeaderTime, limits.First)
	}
	if closed := f.usher.Sweep(time.Now(), limits); closed > 0 {
		f.daemon.logger.Debug("connections of callers without a request closed", "closed", closed,
			"idle", limits.Idle.String(), "first", limits.First.String(), "open", f.usher.Open())
	}
}

// serveReady tells a balancer whether to send connections here.
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

// shutdown waits for running requests until ctx ends, and ends the rest.
func (f *front) shutdown(ctx context.Context) {
	f.relayer.Stop()
	if err := f.server.Shutdown(ctx); err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	f.daemon.logger.Warn("requests were still running at the drain limit", "running", f.relayer.Running())
	f.relayer.Abort()
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if f.server.Shutdown(last) != nil {
		_ = f.server.Close()
	}
}

// lastWords is how long requests that are ended early may take to tell their
// callers.
const lastWords = 200 * time.Millisecond
