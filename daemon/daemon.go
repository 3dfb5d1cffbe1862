// Package daemon assembles one instance of the fleet: the filter chain for
// requests and the components behind it.
//
// The packages that make decisions do no I/O and read no clock. This package
// passes input from sockets, timers and the disk to them as events and executes
// the actions that they return.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.Options{Logger: logger})
//	err = d.Run(ctx) // until ctx ends; then a graceful shutdown
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/announcer"
	"github.com/redwingshunt/redwingshunt/certifier"
	"github.com/redwingshunt/redwingshunt/coordinator"
	"github.com/redwingshunt/redwingshunt/custodian"
	"github.com/redwingshunt/redwingshunt/dispatcher"
	"github.com/redwingshunt/redwingshunt/enroller"
	"github.com/redwingshunt/redwingshunt/gatherer"
	"github.com/redwingshunt/redwingshunt/linker"
	"github.com/redwingshunt/redwingshunt/listener"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/surveyor"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Options configure a daemon beyond its settings.
type Options struct {
	Logger *slog.Logger
	// Document replaces the document file named in the settings and is in force
	// from the start; may be nil.
	Document *redwingshunt.Document
	// Log commits the claims of non-idempotent requests and replaces the log of
	// the instance; may be nil.
	Log redwingshunt.Log
	// ParseDocument parses documents of a fleet that keeps them in another format
	// than that of package parser; may be nil.
	ParseDocument registrar.DocumentFunc
	// Dialect names the headers that callers and upstreams of routes use. The
	// zero value stands for redwingshunt.DefaultDialect.
	Dialect redwingshunt.Dialect
	// RebalanceAfter is the time without a change of the voters after which one that is
	// placed badly moves its seat; zero stands for bootstrapper.RebalanceStableTime.
	RebalanceAfter time.Duration
	// Abort ends a graceful shutdown early once it is closed; may be nil.
	Abort <-chan struct{}
}

// documentFunc returns the function that parses documents.
func (o Options) documentFunc() registrar.DocumentFunc {
	if o.ParseDocument != nil {
		return o.ParseDocument
	}
	return parser.Document
}

// Daemon is one instance of the fleet.
type Daemon struct {
	settings      redwingshunt.Settings
	options       Options
	logger        *slog.Logger
	members       *memberTable
	linker        *linker.Linker
	scheduling    *coordinator.Coordinator
	fixed         *fixedConfiguration // nil if the document comes from the log
	configuration redwingshunt.Configuration
	control       *control
	dispatcher    *dispatcher.Dispatcher
	guarantees    *guarantees
	surveyor      *surveyor.Surveyor
	ableVoters    ableVoters
	listener      *listener.Listener
	grpc          *grpc.Server
	admin         *http.Server
	metrics       *metrics
	memory        *memory
	sockets       sockets
	enroller      *enroller.Enroller
	custodian     *custodian.Custodian
	gatherer      *gatherer.Relay
	rebalancer    *rebalancer   // nil without goals for the places of the voters
	routeServer   *routeServer  // nil unless the settings have an address for routes
	failed        error         // error of the log that ended the daemon
	drain         chan struct{} // closed by Drain
	drainOnce     sync.Once

	certificates *certifier.Keeper // nil without TLS
}

// New returns a daemon whose sockets are open; Run starts serving.
func New(settings redwingshunt.Settings, options Options) (*Daemon, error) {
	if options.Dialect.Request == "" {
		options.Dialect = redwingshunt.DefaultDialect()
	}
	d := &Daemon{settings: settings, options: options, logger: options.Logger, drain: make(chan struct{})}
	if err := d.prepare(); err != nil {
		d.sockets.close()
		return nil, trace.Wrap(err)
	}
	if err := d.assemble(); err != nil {
		d.sockets.close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

// prepare reads the files and opens the sockets named in the settings.
func (d *Daemon) prepare() error {
	if err := d.openCertificates(); err != nil {
		return err
	}
	fixed, err := newFixedConfiguration(d.settings, d.options.Document)
	if err != nil {
		return err
	}
	d.fixed = fixed
	d.memory = newMemory(d.settings.Memory, d.logger)
	return d.sockets.open(d.settings)
}

// assemble creates and connects the components. See chain.go for the order of
// the filter chain.
func (d *Daemon) assemble() error {
	d.assembleLinks()
	if err := d.assembleControl(); err != nil {
		return trace.Wrap(err)
	}
	d.assembleServing()
	return nil
}

// assembleLinks creates the membership table and the links between instances.
func (d *Daemon) assembleLinks() {
	self := redwingshunt.Instance{
		ID:          d.settings.Name,
		Incarnation: redwingshunt.Incarnation(time.Now().UnixMicro()),
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Address:     addressOf(d.sockets.links),
		Voter:       d.settings.Data != "",
		Routes:      d.settings.Routes.IsValid(),
	}
	d.members = newMemberTable(self, d.settings.Peers, d.logger)
	d.linker = linker.New(linker.Options{
		Self:     d.members.Self,
		Resolve:  d.members.find,
		Identify: d.members.identify,
		Lost:     d.members.linkLost,
		Logger:   d.logger,

		Credentials: d.linkCredentials(),
	})
	d.members.attach(d.linker)
	d.grpc = grpc.NewServer(linker.ServerOptions(d.linkCredentials())...)
	wire.RegisterInstancesServer(d.grpc, d.linker)
}

// assembleControl creates the log, the configuration and the components that
// report on them.
func (d *Daemon) assembleControl() error {
	control, configuration, err := newControl(d, d.fixed)
	if err != nil {
		return trace.Wrap(err)
	}
	d.control = control
	d.members.onChange(newRestartDetector(control.recorder.Restarted).update)
	d.configuration = configuration
	d.metrics = newMetrics(d)
	if d.settings.Tolerate.Enabled() && d.settings.Data != "" {
		d.rebalancer = newRebalancer(d)
	}
	d.surveyor = surveyor.New(surveyor.Options{
		Members: d.members, Link: d.linker, Configuration: d.configuration,
	})
	return nil
}

// assembleServing creates the components that process requests, and the
// administration API.
func (d *Daemon) assembleServing() {
	d.scheduling = coordinator.New(coordinator.Options{
		Members:       d.members,
		Link:          d.linker,
		Configuration: d.configuration,
		Clock:         wallClock{},
		Logger:        d.logger,
		Metrics:       d.metrics.scope,
	})
	d.guarantees = newGuarantees(d.log(), d.members, d.linker, d.configuration, d.logger)
	d.dispatcher = dispatcher.New(dispatcher.Options{
		Scheduler: d.scheduling, Directory: d.scheduling, Suspects: d.guarantees.notifier, Memory: d.memory.responses(), Logger: d.logger,
		Configuration: d.configuration,
	})
	d.enroller = enroller.New(enroller.Options{
		Members: d.members, Link: d.linker, Clock: wallClock{}, Logger: d.logger,
	})
	d.custodian = custodian.New(custodian.Options{
		Members: d.members, Link: d.linker, Versions: d.enroller, Voters: d.settings.Wanted, Clock: wallClock{}, Logger: d.logger,
	})
	d.gatherer = gatherer.NewRelay(gatherer.Options{
		Members: d.members, Link: d.linker, Clock: wallClock{}, Logger: d.logger,
		Metrics: d.metrics.scope, MayHedge: d.mayHedge,
	})
	if d.settings.Routes.IsValid() {
		d.routeServer = newRouteServer(d)
	}
	d.listener = listener.New(listener.Options{
		Chain:         d.newChain(),
		Configuration: d.configuration,
		Upstreams: announcer.New(announcer.Options{
			Directory:     d.scheduling,
			Roll:          d.enroller,
			Configuration: d.configuration,
			Self:          d.members.Self,
			Now:           time.Now,
			ColdLimited:   d.ColdTimeLimited,
		}),
		Logger: d.logger,
		Guard: func(server *http.Server, socket net.Listener) net.Listener {
			return d.guard(server, socket, d.connections().Listen)
		},
	})
	d.admin = &http.Server{
		Handler:           administrator.New(d.parts()),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminReadTimeout,
		MaxHeaderBytes:    adminHeaderBytes,
	}
}

// log returns the log to which claims are committed.
func (d *Daemon) log() redwingshunt.Log {
	if d.options.Log != nil {
		return d.options.Log
	}
	return d.control.recorder
}

// Run serves until ctx ends and then shuts down gracefully. It also ends after a
// call of Drain and, if the settings allow a restart, when the log fails; the
// error of the log is then returned.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.control.run(background)
	var group errgroup.Group
	links := d.linker.LimitListener(d.sockets.links, d.connections().Link, d.memory.frames())
	group.Go(func() error { return ignoreClosed(d.grpc.Serve(links)) })
	admin := d.guard(d.admin, d.sockets.admin, d.connections().Admin)
	group.Go(func() error { return ignoreClosed(d.admin.Serve(admin)) })
	if d.sockets.callers != nil {
		group.Go(func() error { return d.listener.Serve(d.sockets.callers) })
		group.Go(func() error { _ = d.scheduling.Run(background); return nil })
	}
	if d.routeServer != nil {
		d.routeServer.start(background, &group)
	}
	group.Go(func() error { return d.guarantees.run(background) })
	group.Go(func() error { d.members.run(background.Done()); return nil })
	group.Go(func() error { d.enroller.Run(background); return nil })
	group.Go(func() error { d.custodian.Run(background); return nil })
	group.Go(func() error { d.gatherer.Run(background); return nil })
	group.Go(func() error { d.metrics.run(background); return nil })
	group.Go(func() error { d.memory.run(background, d.metrics.scope); return nil })
	if d.settings.Wanted > 0 && d.settings.Data != "" {
		group.Go(func() error { newJoiner(d).run(background); return nil })
	}
	if d.rebalancer != nil {
		group.Go(func() error { d.rebalancer.run(background); return nil })
	}
	if d.sockets.metrics != nil {
		group.Go(func() error {
			return d.metrics.serve(background, d.sockets.metrics, func(server *http.Server, socket net.Listener) net.Listener {
				return d.guard(server, socket, d.connections().Metrics)
			})
		})
	}
	d.logger.Info("serving", "incarnation", uint64(d.Self().Incarnation),
		"listen", d.settings.Listen.String(), "routes", d.settings.Routes.String(), "link", d.Link().String(), "admin", d.Admin().String())
	failed := d.control.failed
	if !d.settings.Restart {
		failed = nil
	}
	select {
	case <-ctx.Done():
	case <-d.drain:
	case d.failed = <-failed:
	}
	d.shutdown()
	stop()
	if err := group.Wait(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.failed)
}

// Replace replaces the whole document under the highest-version rule.
func (d *Daemon) Replace(ctx context.Context, text []byte) (redwingshunt.Replacement, error) {
	return d.control.submitter.Replace(ctx, text)
}

// NewestDocument returns the text of the latest document, confirmed by a quorum.
func (d *Daemon) NewestDocument(ctx context.Context) ([]byte, error) {
	part, err := d.control.submitter.Text(ctx, "", 0)
	return part.Text, trace.Wrap(err)
}

// Configuration returns the configuration in force on this instance.
func (d *Daemon) Configuration() redwingshunt.Configuration { return d.configuration }

// Logger returns the logger of the instance.
func (d *Daemon) Logger() *slog.Logger { return d.logger }

// Roll returns the register that accepts upstream announcements for the whole
// fleet.
func (d *Daemon) Roll() redwingshunt.Roll { return d.enroller }

// Listen returns the address for callers and upstreams. It is invalid if the
// settings have none.
func (d *Daemon) Listen() netip.AddrPort {
	if d.sockets.callers == nil {
		return netip.AddrPort{}
	}
	return addressOf(d.sockets.callers)
}

// Traffic returns the traffic of the links to other instances.
func (d *Daemon) Traffic() []linker.Traffic { return d.linker.Traffic() }

// Self returns this instance.
func (d *Daemon) Self() redwingshunt.Instance { return d.members.Self() }

// Link returns the address at which other instances connect.
func (d *Daemon) Link() netip.AddrPort { return addressOf(d.sockets.links) }

// Live returns the instances that this instance considers alive.
func (d *Daemon) Live() []redwingshunt.Instance { return d.members.Live() }

// Metrics returns the address that serves the metrics.
func (d *Daemon) Metrics() netip.AddrPort {
	if d.sockets.metrics == nil {
		return d.Admin()
	}
	return addressOf(d.sockets.metrics)
}

// Admin returns the address of the administration API.
func (d *Daemon) Admin() netip.AddrPort { return addressOf(d.sockets.admin) }

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return trace.Wrap(err)
}
