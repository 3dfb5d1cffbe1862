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
	"github.com/redwingshunt/redwingshunt/acceptor"
	"github.com/redwingshunt/redwingshunt/allocator"
	"github.com/redwingshunt/redwingshunt/budgeter"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/governor"
	"github.com/redwingshunt/redwingshunt/relayer"
)

const (
	// headerTimeout limits the time from the start of a connection until its
	// first header is read, unless the document sets a limit.
	headerTimeout = 5 * time.Second
	// maxHeaderTimeout limits the time for reading a later header, from its
	// first bytes. Until these arrive the idle timeout applies.
	maxHeaderTimeout = 10 * time.Second
	// idleTimeout limits the time of a connection without a request, unless the
	// document sets a limit. It is longer than callers keep idle connections, so
	// that a request does not arrive while the instance closes its connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a header if the document does not, and
	// regardless of the document.
	maxHeaderBytes = 256 << 10
	// sweepInterval is the interval at which idle connections of callers and
	// upstreams are checked.
	sweepInterval = time.Second
)

// routeServer serves the routes of the document.
type routeServer struct {
	daemon        *Daemon
	allocator     *allocator.Allocator
	carrier       *carrier.Carrier
	relayer       *relayer.Relayer
	acceptor      *acceptor.Acceptor
	server        *http.Server
	ready         *http.Server
	upstreamsSeen atomic.Bool // at least one has been usable since the start
	bounds        bounds
	requestLimit  atomic.Int64 // current limit of concurrent requests; zero until govern runs
	withdrawn     atomic.Bool  // overloaded: reports not ready to the load balancer
}

func newRouteServer(d *Daemon) *routeServer {
	bounds := boundsOf(d.settings)
	s := &routeServer{
		daemon:   d,
		acceptor: acceptor.New(bounds.keptConnections, bounds.openConnections),
		bounds:   bounds,
		carrier:  carrier.New(carrier.Options{Header: d.options.Dialect.Request, MaxIdle: bounds.idleUpstreamConnections}),
		allocator: allocator.New(allocator.Options{
			Members: d.members, Link: d.linker, Configuration: d.configuration, Clock: wallClock{},
			Budget: d.settings.Repeats, Logger: d.logger,
			Cold: d.settings.Cold, Contact: d.contactAge, Metrics: d.metrics.scope,
		}),
	}
	s.relayer = relayer.New(relayer.Options{
		Configuration: d.configuration, Placer: s.allocator, Suspects: d.guarantees.notifier, Parts: d.guarantees.correlator,
		Roll: d.enroller, Origins: d.custodian,
		Carrier: s.carrier, Dialect: d.options.Dialect, Logger: d.logger, Observe: d.metrics.routes.observe,
		Hedge:            d.settings.Hedge,
		ConcurrencyLimit: func() int { return int(s.requestLimit.Load()) }, BufferBytes: d.settings.Memory / bodyMemoryDivisor,
		Memory: d.memory.responses(),
	})
	s.allocator.ShareTimes(s.relayer)
	d.enroller.Watch(func(usable []redwingshunt.UpstreamState) {
		s.upstreamsSeen.Store(s.upstreamsSeen.Load() || len(usable) > 0)
		s.allocator.SetUpstreams(usable)
	})
	s.server = &http.Server{
		Handler:           d.memory.bodies(http.HandlerFunc(s.serve)),
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       relayer.WithConnection,
		ConnState:         s.acceptor.TrackConnState, // tracks the connections that sweepCallers checks
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	s.acceptor.LimitHeaders(headers{stageMemory{d.memory, budgeter.Header}, s.headerLimit}, d.certificates != nil)
	s.ready = &http.Server{
		Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminReadTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	return s
}

// bodyMemoryDivisor sets the part of the memory, 1/bodyMemoryDivisor, that the
// bodies of long requests and answers may take.
const bodyMemoryDivisor = 4

const (
	// requestMemoryBytes is the memory budget for one running request. Requests
	// with their connections usually need less, which leaves a part of the memory
	// for everything else.
	requestMemoryBytes = 256 << 10
	// connectionMemoryBytes is the memory budget for one kept connection of a
	// caller. The connection itself takes 18 KiB; the rest is for the requests on
	// other connections and the overhead of garbage collection.
	connectionMemoryBytes = 256 << 10
)

// bounds limit the requests and connections of one instance. Zero means
// unlimited.
type bounds struct {
	requests                int // concurrent requests
	keptConnections         int // connections of callers above which an answer closes its connection
	openConnections         int // connections of callers
	idleUpstreamConnections int // idle connections to upstreams
}

// boundsOf returns the bounds set in the settings. Those that are not set are
// derived from the memory limit, and all are capped by the limit of file
// descriptors.
func boundsOf(settings redwingshunt.Settings) bounds {
	b := bounds{requests: settings.Most, keptConnections: settings.Kept}
	if b.requests == 0 {
		b.requests = int(settings.Memory / requestMemoryBytes)
	}
	if b.keptConnections == 0 {
		b.keptConnections = int(settings.Memory / connectionMemoryBytes)
	}
	if b.keptConnections > 0 && b.requests > 0 {
		b.openConnections = b.keptConnections + b.requests
	}
	if files := servingFiles(settings); files > 0 {
		if settings.Listen.IsValid() {
			files -= files / servicesDivisor
		}
		b.capByFiles(files)
	}
	return b
}

// reservedFiles is the number of file descriptors for everything but connections
// of callers and upstreams: links to other instances, the log and other files.
const reservedFiles = 600

// capByFiles lowers the bounds to fit a number of file descriptors: half of them
// for connections of callers, and a quarter each for requests in flight and for
// idle connections to upstreams.
func (b *bounds) capByFiles(files int) {
	lower := func(bound *int, limit int) {
		if *bound == 0 || *bound > limit {
			*bound = limit
		}
	}
	lower(&b.openConnections, files/2)
	lower(&b.keptConnections, files/2)
	lower(&b.requests, files/4)
	lower(&b.idleUpstreamConnections, files/4)
}

// headerLimit returns the maximum length of a header, with the margin.
func (s *routeServer) headerLimit() int64 {
	if snapshot := s.daemon.configuration.Current(); snapshot != nil && snapshot.Document.Limits.Header > 0 {
		return min(snapshot.Document.Limits.Header, maxHeaderBytes) + headerMarginBytes
	}
	return maxHeaderBytes + headerMarginBytes
}

// hasSeenUpstreams reports whether any upstream has been usable since the start.
func (s *routeServer) hasSeenUpstreams() bool { return s.upstreamsSeen.Load() }

// serve serves one request of a caller.
func (s *routeServer) serve(w http.ResponseWriter, r *http.Request) {
	if s.acceptor.OverKeepLimit() {
		w.Header().Set("Connection", "close")
	}
	s.relayer.ServeHTTP(w, r)
}

// start starts serving. Everything but the server for callers, which shutdown
// stops, ends with ctx.
func (s *routeServer) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		return ignoreClosed(s.server.Serve(s.daemon.secure(s.acceptor.LimitListener(s.daemon.sockets.routes))))
	})
	if socket := s.daemon.sockets.ready; socket != nil {
		guarded := s.daemon.guard(s.ready, socket, s.daemon.connections().Ready)
		group.Go(func() error { return serveUntil(ctx, s.ready, guarded) })
	}
	group.Go(func() error { s.allocator.Run(ctx); return nil })
	group.Go(func() error { s.sweep(ctx); return nil })
	group.Go(func() error { s.govern(ctx); return nil })
}

func (s *routeServer) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.carrier.Close()
			return
		case <-ticker.C:
			s.carrier.Sweep()
			s.sweepCallers()
		}
	}
}

// govern adjusts the limit of concurrent requests to the load of the processor:
// to the delays of timers and network events, and to the number of callers that
// hang up before their requests are read.
func (s *routeServer) govern(ctx context.Context) {
	core := governor.New(s.bounds.requests)
	s.requestLimit.Store(int64(core.Limit()))
	probe, err := newDelayProbe()
	if err != nil {
		s.daemon.logger.Error("cannot create the pipe for measuring network delays", "error", err.Error())
		return
	}
	defer probe.close()
	go probe.run()
	var endedBefore, abandonedBefore, refusedBefore int64
	var lastLogged time.Time
	for {
		s.requestLimit.Store(int64(core.Limit()))
		due := time.Now().Add(governor.Period)
		redwingshunt.Pause(ctx, governor.Period)
		if ctx.Err() != nil {
			return
		}
		running := s.relayer.Running()
		ended, abandoned, refused := s.relayer.Ended()
		sample := governor.Sample{
			Delay: time.Since(due), NetworkDelay: probe.delay(), Running: running,
			Ended: int(ended - endedBefore), Abandoned: int(abandoned - abandonedBefore),
			Refused: int(refused - refusedBefore), Full: s.acceptor.Full(),
		}
		endedBefore, abandonedBefore, refusedBefore = ended, abandoned, refused
		change := core.Observe(sample)
		if withdrawn := core.Withdrawn(); s.withdrawn.Swap(withdrawn) != withdrawn {
			s.daemon.logger.Info("readiness for new connections changed", "ready", !withdrawn, "late", core.Delay().String(),
				"running", running, "limit", core.Limit(), "refused", refused, "open", s.acceptor.Open())
		}
		switch change {
		case governor.Lowered:
			s.daemon.logger.Warn("processor overloaded; limit of concurrent requests lowered",
				"late", core.Delay().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.Restored:
			s.daemon.logger.Info("processor no longer overloaded; limit of concurrent requests restored",
				"late", core.Delay().String(), "abandoned", core.Abandoned(), "running", running, "limit", core.Limit())
		case governor.None:
			if core.Limit() < s.bounds.requests && due.Sub(lastLogged) >= overloadLogInterval {
				lastLogged = due
				s.daemon.logger.Info("concurrent requests limited by the processor load", "late", core.Delay().String(),
					"abandoned", core.Abandoned(), "running", running, "limit", core.Limit(), "open", s.acceptor.Open(),
					"taken", s.acceptor.Accepted(), "skipped", s.acceptor.Abandoned(), "ended", ended, "opened", s.carrier.Counts().Opened)
			}
		}
	}
}

// overloadLogInterval is the interval of log messages while an instance is
// overloaded.
const overloadLogInterval = time.Second

// sweepCallers closes connections of callers that exceed the idle or header
// timeout.
func (s *routeServer) sweepCallers() {
	limits := acceptor.Limits{Idle: idleTimeout, First: headerTimeout}
	if snapshot := s.daemon.configuration.Current(); snapshot != nil {
		limits.Idle = cmp.Or(snapshot.Document.Limits.Idle, limits.Idle)
		limits.First = cmp.Or(snapshot.Document.Limits.HeaderTime, limits.First)
	}
	if closed := s.acceptor.Sweep(time.Now(), limits); closed > 0 {
		s.daemon.logger.Debug("closed caller connections without a request", "closed", closed,
			"idle", limits.Idle.String(), "first", limits.First.String(), "open", s.acceptor.Open())
	}
}

// serveReady answers the readiness check of a load balancer.
func (s *routeServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := s.daemon.Ready()
	if reason == "" && s.withdrawn.Load() {
		reason = "the instance is overloaded"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdown waits for running requests until ctx ends and aborts the rest.
func (s *routeServer) shutdown(ctx context.Context) {
	s.relayer.Stop()
	if err := s.server.Shutdown(ctx); err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	s.daemon.logger.Warn("requests still running at the drain limit", "running", s.relayer.Running())
	s.relayer.Abort()
	abortContext, cancel := context.WithTimeout(context.Background(), routeAbortTimeout)
	defer cancel()
	if s.server.Shutdown(abortContext) != nil {
		_ = s.server.Close()
	}
}

// routeAbortTimeout limits the time in which aborted requests of routes notify
// their callers.
const routeAbortTimeout = 200 * time.Millisecond
