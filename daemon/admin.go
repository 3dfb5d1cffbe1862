package daemon

// What operators see of an instance: the administration API, metrics, and how
// its sockets are secured.

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/certifier"
	"github.com/redwingshunt/redwingshunt/observer"
	"github.com/redwingshunt/redwingshunt/reporter"
)

// adminTimeout bounds the header of a request to the administration API.
const adminTimeout = 5 * time.Second

// operations are the parts that operators use.
type operations struct {
	scope    tally.Scope
	metrics  http.Handler
	closer   io.Closer // of the scope
	observer *observer.Observer
	keeper   *certifier.Keeper // nil in plain text
	drain    sync.Once
	draining chan struct{} // closed when a graceful shutdown is asked for
}

// newOperations reads the certificates and begins to count.
func newOperations(settings redwingshunt.Settings) (*operations, error) {
	o := &operations{draining: make(chan struct{})}
	if settings.TLS.Enabled() {
		keeper, err := certifier.Open(settings.TLS, time.Now)
		if err != nil {
			return nil, err
		}
		o.keeper = keeper
	}
	o.scope, o.metrics, o.closer = reporter.New()
	return o, nil
}

// Drain begins a graceful shutdown.
func (o *operations) Drain() { o.drain.Do(func() { close(o.draining) }) }

// secure wraps a socket for callers or operators.
func (o *operations) secure(socket net.Listener) net.Listener {
	if o.keeper == nil {
		return socket
	}
	return tls.NewListener(socket, o.keeper.Server())
}

// links returns the credentials of links; nil in plain text.
func (o *operations) links() credentials.TransportCredentials {
	if o.keeper == nil {
		return nil
	}
	return o.keeper.Links()
}

// serverOptions returns the options of the server of links.
func (o *operations) serverOptions() []grpc.ServerOption {
	if o.keeper == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(o.keeper.Links())}
}

// newObserver returns what turns the parts into metrics.
func (d *Daemon) newObserver() *observer.Observer {
	return observer.New(d.operations.scope, observer.Sources{
		Configuration: d.configured, Members: d.members, Readiness: d, Traffic: d.linker.Traffic,
	})
}

// Ready returns why this instance does not serve; empty when it does.
func (d *Daemon) Ready() string {
	select {
	case <-d.operations.draining:
		return "stopping"
	default:
		return ""
	}
}

// adminHandler returns the administration API with the parts of this instance.
func (d *Daemon) adminHandler() http.Handler {
	parts := administrator.Parts{
		Version: version(), Members: d.members, Configuration: d.configured, Bootstrap: d.settings.Bootstrap,
		Readiness: d, Drainer: d.operations, Dumpers: d.dumpers,
	}
	if !d.settings.Metrics.IsValid() {
		parts.Metrics = d.operations.metrics
	}
	return administrator.New(parts)
}

// serveMetrics serves the metrics at an address of their own until the context
// ends; without one it only waits.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.sockets.metrics == nil {
		return nil
	}
	router := http.NewServeMux()
	router.Handle("/metrics", d.operations.metrics)
	server := &http.Server{Handler: router, ReadHeaderTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreClosed(server.Serve(d.operations.secure(d.sockets.metrics)))
}

// version returns the version that the program was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
