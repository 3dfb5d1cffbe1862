// Package detector tells whether an upstream still listens, which shows whether it
// died with a request.
//
// # Usage
//
//	alive := detector.Probe(ctx, dialer, address) == nil
//	dead := detector.Ended(ctx, dialer, address)
package detector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

// timeout is how long an upstream may take to accept a connection that only probes
// it: a round trip between regions and some work.
const timeout = 300 * time.Millisecond

// Probe opens a connection to an address and closes it. It returns the error of the
// dialer if the address does not accept one in time.
func Probe(ctx context.Context, dialer *net.Dialer, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return socket.Close()
}

// Ended reports whether nothing listens at an address any more.
func Ended(ctx context.Context, dialer *net.Dialer, address netip.AddrPort) bool {
	return errors.Is(Probe(ctx, dialer, address), syscall.ECONNREFUSED)
}

// EndsWithConnection reports whether only the end of the connection marks the end of a
// response. An upstream that dies ends it, too.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
