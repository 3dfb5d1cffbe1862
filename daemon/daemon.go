// Package daemon puts one instance of the fleet together: the chain of filters
// that a request passes, and the parts behind it.
//
// It is the shell around the packages that decide. Sockets, timers and disk
// become events for them here, and their actions are carried out here.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.Options{Logger: logger})
//	err = d.Run(ctx) // until ctx ends; then a graceful shutdown
package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/announcer"
	"github.com/redwingshunt/redwingshunt/dispatcher"
	"github.com/redwingshunt/redwingshunt/linker"
	"github.com/redwingshunt/redwingshunt/listener"
	"github.com/redwingshunt/redwingshunt/wire"
)

// noticeDelay is how long a leaving instance still serves, so that balancers
// and the other instances learn that it leaves.
const noticeDelay = time.Second

// Options configure a daemon beyond its settings.
type Options struct {
	Logger *slog.Logger
	// Document is in force from the start, instead of the file that the
	// settings name; may be nil.
	Document *redwingshunt.Document
	// Abort ends a graceful shutdown early when it is closed; may be nil.
	Abort <-chan struct{}
}

// Daemon is one instance of the fleet.
type Daemon struct {
	settings   redwingshunt.Settings
	options    Options
	logger     *slog.Logger
	members    *memberTable
	linker     *linker.Linker
	scheduling *scheduling
	configured *configuration
	dispatcher *dispatcher.Dispatcher
	listener   *listener.Listener
	grpc       *grpc.Server
	admin      *http.Server
	operations *operations
	sockets    sockets
	dumpers    map[string]redwingshunt.Dumper
}

// sockets are the open listening sockets of a daemon.
type sockets struct {
	callers, links, admin net.Listener
	metrics               net.Listener // nil when they are part of admin
}

// New returns a daemon that listens but does not serve yet.
func New(settings redwingshunt.Settings, options Options) (*Daemon, error) {
	d := &Daemon{settings: settings, options: options, logger: options.Logger}
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, trace.Wrap(err)
	}
	configured, err := newConfiguration(settings, options.Document)
	if err != nil {
		d.closeSockets()
		return nil, trace.Wrap(err)
	}
	if d.operations, err = newOperations(settings); err != nil {
		d.closeSockets()
		return nil, trace.Wrap(err)
	}
	d.configured = configured
	d.assemble()
	return d, nil
}

// assemble connects the parts. The order of the chain stands in chain.go.
func (d *Daemon) assemble() {
	self := redwingshunt.Instance{
		ID:          d.settings.Name,
		Incarnation: redwingshunt.Incarnation(time.Now().UnixMicro()),
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Address:     addressOf(d.sockets.links),
		Voter:       d.settings.Data != "",
	}
	d.members = newMemberTable(self, d.settings.Peers)
	d.linker = linker.New(linker.Options{
		Self:     d.members.Self,
		Resolve:  d.members.find,
		Identify: d.members.identify,
		Lost:     d.members.lost,
		Logger:   d.logger,

		Credentials: d.operations.links(),
	})
	d.members.attach(d.linker)
	d.scheduling = newScheduling(d.members, d.linker)
	d.operations.observer = d.newObserver()
	d.dispatcher = dispatcher.New(dispatcher.Options{Scheduler: d.scheduling, Logger: d.logger})
	d.listener = listener.New(listener.Options{
		Chain:         newChain(d.dispatcher, d.operations.observer.Filter, rand.Text, d.logger),
		Configuration: d.configured,
		Upstreams: announcer.New(announcer.Options{
			Directory:     d.scheduling,
			Configuration: d.configured,
			Self:          d.members.Self,
			Now:           time.Now,
		}),
		Logger: d.logger,
	})
	d.grpc = grpc.NewServer(d.operations.serverOptions()...)
	wire.RegisterInstancesServer(d.grpc, d.linker)
	d.dumpers = map[string]redwingshunt.Dumper{
		"members":    d.members,
		"links":      d.linker,
		"dispatcher": d.dispatcher,
	}
	d.admin = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminTimeout}
}

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(d.grpc.Serve(d.sockets.links)) })
	group.Go(func() error { return ignoreClosed(d.admin.Serve(d.operations.secure(d.sockets.admin))) })
	group.Go(func() error { return d.listener.Serve(d.operations.secure(d.sockets.callers)) })
	group.Go(func() error { return d.serveMetrics(background) })
	group.Go(func() error { d.operations.observer.Run(background); return nil })
	group.Go(func() error { d.members.run(background.Done()); return nil })
	d.logger.Info("serving", "instance", string(d.settings.Name),
		"listen", d.Listen().String(), "link", addressOf(d.sockets.links).String(), "admin", d.Admin().String())
	if d.settings.Plain {
		d.logger.Warn("PLAIN TEXT: keys and requests travel without encryption; give tls in the settings")
	}
	select {
	case <-ctx.Done():
		d.operations.Drain()
	case <-d.operations.draining:
	}
	d.shutdown()
	stop()
	return trace.NewAggregate(group.Wait(), d.operations.closer.Close())
}

// Listen returns the address for callers and upstreams.
func (d *Daemon) Listen() netip.AddrPort { return addressOf(d.sockets.callers) }

// Traffic returns what the instance sent to and received from others.
func (d *Daemon) Traffic() []linker.Traffic { return d.linker.Traffic() }

// Self returns this instance.
func (d *Daemon) Self() redwingshunt.Instance { return d.members.Self() }

// Link returns the address for other instances.
func (d *Daemon) Link() netip.AddrPort { return addressOf(d.sockets.links) }

// Live returns the instances that this one thinks alive.
func (d *Daemon) Live() []redwingshunt.Instance { return d.members.Live() }

// Admin returns the address of the administration API.
func (d *Daemon) Admin() netip.AddrPort { return addressOf(d.sockets.admin) }

func (d *Daemon) listen() error {
	var config net.ListenConfig
	for _, s := range []struct {
		address netip.AddrPort
		socket  *net.Listener
	}{
		{d.settings.Listen, &d.sockets.callers},
		{d.settings.Link, &d.sockets.links},
		{d.settings.Admin, &d.sockets.admin},
		{d.settings.Metrics, &d.sockets.metrics},
	} {
		if !s.address.IsValid() {
			continue
		}
		socket, err := config.Listen(context.Background(), "tcp", s.address.String())
		if err != nil {
			return trace.Wrap(err)
		}
		*s.socket = socket
	}
	return nil
}

func (d *Daemon) closeSockets() {
	for _, socket := range []net.Listener{d.sockets.callers, d.sockets.links, d.sockets.admin, d.sockets.metrics} {
		if socket != nil {
			_ = socket.Close()
		}
	}
}

// addressOf returns the address that a socket listens on.
func addressOf(socket net.Listener) netip.AddrPort {
	address, ok := socket.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	port := address.AddrPort()
	return netip.AddrPortFrom(port.Addr().Unmap(), port.Port())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return trace.Wrap(err)
}
