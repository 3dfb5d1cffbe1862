package certifier

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

var (
	start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	local = netip.MustParseAddr("127.0.0.1")
)

const year = 365 * 24 * time.Hour

// instance writes the files of one instance and opens a Keeper for them.
func instance(t *testing.T, a *Authority, name redwingshunt.InstanceID, address netip.Addr, now func() time.Time) *Keeper {
	t.Helper()
	folder := t.TempDir()
	files := redwingshunt.TLSFiles{
		Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "authority.pem"),
	}
	write(t, files, a, name, address)
	keeper, err := Open(files, now)
	is.New(t).NoErr(err)
	return keeper
}

// write issues a certificate and writes it, its key and the authority to files.
func write(t *testing.T, files redwingshunt.TLSFiles, a *Authority, name redwingshunt.InstanceID, address netip.Addr) {
	t.Helper()
	is := is.New(t)
	pair, err := a.Issue(name, []netip.Addr{address}, start, year)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Cert, pair.Certificate, 0o600))
	is.NoErr(os.WriteFile(files.Key, pair.Key, 0o600))
	is.NoErr(os.WriteFile(files.Authority, a.Pair().Certificate, 0o600))
}

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(start, year)
	is.New(t).NoErr(err)
	return a
}

// handshake connects a client to a server and returns the peer that the server
// identified.
func handshake(server, client *tls.Config) (redwingshunt.InstanceID, error) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	done := make(chan error, 1)
	go func() {
		c := tls.Client(near, client)
		err := c.Handshake()
		if err == nil {
			_, err = c.Read(make([]byte, 1)) // a rejection by the server is reported here
		}
		_ = near.Close()
		done <- err
	}()
	s := tls.Server(far, server)
	err := s.Handshake()
	if err == nil {
		_, err = s.Write([]byte("x"))
	}
	_ = far.Close()
	if clientErr := <-done; clientErr != nil {
		return "", clientErr
	}
	return Peer(s.ConnectionState()), err
}

func TestLinks(t *testing.T) {
	fleet, foreign := newAuthority(t), newAuthority(t)
	at := func(d time.Duration) func() time.Time { return func() time.Time { return start.Add(d) } }
	tests := map[string]struct {
		server, client *Keeper
		want           redwingshunt.InstanceID // empty if the handshake fails
	}{
		"same fleet":        {instance(t, fleet, "node-a", local, at(0)), instance(t, fleet, "node-b", local, at(0)), "node-b"},
		"foreign client":    {instance(t, fleet, "node-a", local, at(0)), instance(t, foreign, "node-b", local, at(0)), ""},
		"foreign server":    {instance(t, foreign, "node-a", local, at(0)), instance(t, fleet, "node-b", local, at(0)), ""},
		"another address":   {instance(t, fleet, "node-a", netip.MustParseAddr("127.0.0.2"), at(0)), instance(t, fleet, "node-b", local, at(0)), ""},
		"expired":           {instance(t, fleet, "node-a", local, at(2*year)), instance(t, fleet, "node-b", local, at(2*year)), ""},
		"clocks a bit late": {instance(t, fleet, "node-a", local, at(-time.Minute)), instance(t, fleet, "node-b", local, at(-time.Minute)), "node-b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen, err := handshake(test.server.LinkServer(), test.client.LinkClient(local))
			is.Equal(seen, test.want)
			is.Equal(err == nil, test.want != "")
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		_, err := handshake(instance(t, fleet, "node-a", local, at(0)).LinkServer(), &tls.Config{InsecureSkipVerify: true})
		is.New(t).True(err != nil)
	})
}

// TestReload replaces the files while the keeper is open: after invalid files the
// old certificate stays in use, valid ones are used by the next handshake.
func TestReload(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	var passed atomic.Int64
	clock := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	server := instance(t, before, "node-a", local, clock)
	old, renewed := instance(t, before, "node-b", local, clock), instance(t, after, "node-b", local, clock)

	is.NoErr(os.WriteFile(server.files.Cert, []byte("broken"), 0o600))
	passed.Add(int64(2 * time.Second))
	is.True(server.Err() != nil)
	_, err := handshake(server.LinkServer(), old.LinkClient(local))
	is.NoErr(err)

	config := server.LinkServer() // made before the change
	write(t, server.files, after, "node-a", local)
	passed.Add(int64(2 * time.Second))
	_, err = handshake(config, renewed.LinkClient(local))
	is.NoErr(err)
	is.NoErr(server.Err())
	_, err = handshake(config, old.LinkClient(local))
	is.True(err != nil) // the old authority is no longer trusted
}

func TestParseAuthority(t *testing.T) {
	is := is.New(t)
	a, other := newAuthority(t), newAuthority(t)
	again, err := ParseAuthority(a.Pair())
	is.NoErr(err)
	is.Equal(again.Pair(), a.Pair())
	_, err = ParseAuthority(Pair{Certificate: a.Pair().Certificate, Key: other.Pair().Key})
	is.True(err != nil)
	pair, err := a.Issue("node-a", []netip.Addr{local}, start, year)
	is.NoErr(err)
	_, err = ParseAuthority(pair)
	is.True(err != nil) // the certificate of an instance is not a CA
}
