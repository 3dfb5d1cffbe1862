package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/certifier"
)

// sockets holds the listening sockets of a daemon.
type sockets struct {
	callers, links, admin net.Listener
	metrics               net.Listener // nil if admin serves the metrics
	routes, ready         net.Listener // nil if the settings have no address for it
}

// open opens a socket for each address in the settings.
func (s *sockets) open(settings redwingshunt.Settings) error {
	var config net.ListenConfig
	for _, entry := range []struct {
		address netip.AddrPort
		socket  *net.Listener
	}{
		{settings.Listen, &s.callers},
		{settings.Link, &s.links},
		{settings.Admin, &s.admin},
		{settings.Metrics, &s.metrics},
		{settings.Routes, &s.routes},
		{settings.Ready, &s.ready},
	} {
		if !entry.address.IsValid() {
			continue
		}
		socket, err := config.Listen(context.Background(), "tcp", entry.address.String())
		if err != nil {
			return trace.Wrap(err)
		}
		*entry.socket = socket
	}
	return nil
}

func (s *sockets) close() {
	for _, socket := range []net.Listener{s.callers, s.links, s.admin, s.metrics, s.routes, s.ready} {
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

// openCertificates reads the certificate files named in the settings. Without
// any, no link or listener uses TLS, and it logs a warning.
func (d *Daemon) openCertificates() error {
	if !d.settings.TLS.Enabled() {
		d.logger.Warn("PLAIN TEXT: callers, upstreams, operators and other instances are not encrypted or verified")
		return nil
	}
	certificates, err := certifier.Open(d.settings.TLS, time.Now)
	if err != nil {
		return trace.Wrap(err)
	}
	d.certificates = certificates
	return nil
}

// secure wraps a listening socket in TLS, unless the instance has no
// certificates.
func (d *Daemon) secure(socket net.Listener) net.Listener {
	if d.certificates == nil {
		return socket
	}
	return tls.NewListener(socket, d.certificates.Server())
}

// linkCredentials returns the credentials for both ends of links.
func (d *Daemon) linkCredentials() credentials.TransportCredentials {
	if d.certificates == nil {
		return insecure.NewCredentials()
	}
	return d.certificates.Links()
}

// serveUntil serves a socket until ctx ends. It then closes all connections,
// also those with running requests.
func serveUntil(ctx context.Context, server *http.Server, socket net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreClosed(server.Serve(socket))
}
