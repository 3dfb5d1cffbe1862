package linker

import (
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/certifier"
	"github.com/redwingshunt/redwingshunt/wire"
)

// newSecuredLinker returns a linker that identifies itself by name and has a
// certificate for certified.
func newSecuredLinker(t *testing.T, authority *certifier.Authority, name, certified redwingshunt.InstanceID) (*Linker, *certifier.Keeper) {
	t.Helper()
	is := is.New(t)
	pair, err := authority.Issue(certified, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	is.NoErr(err)
	folder := t.TempDir()
	files := redwingshunt.TLSFiles{
		Cert: filepath.Join(folder, "cert"), Key: filepath.Join(folder, "key"), Authority: filepath.Join(folder, "authority"),
	}
	is.NoErr(os.WriteFile(files.Cert, pair.Certificate, 0o600))
	is.NoErr(os.WriteFile(files.Key, pair.Key, 0o600))
	is.NoErr(os.WriteFile(files.Authority, authority.Pair().Certificate, 0o600))
	keeper, err := certifier.Open(files, time.Now)
	is.NoErr(err)
	return New(Options{
		Self:        func() redwingshunt.Instance { return redwingshunt.Instance{ID: name, Region: "north"} },
		Resolve:     func(redwingshunt.InstanceID) (redwingshunt.Instance, bool) { return redwingshunt.Instance{}, false },
		Identify:    func(netip.AddrPort) (redwingshunt.InstanceID, bool) { return "", false },
		Credentials: keeper.Links(),
		Logger:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	}), keeper
}

// TestImpersonation sends under the name of another instance, with a valid
// certificate of the fleet. A message is received only under the certified name.
func TestImpersonation(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	receiver, keeper := newSecuredLinker(t, authority, "node-a", "node-a")
	defer receiver.Close()
	received := make(chan redwingshunt.InstanceID, 16)
	receiver.Handle(redwingshunt.KindDigest, func(from redwingshunt.InstanceID, _ []byte) { received <- from })
	server := grpc.NewServer(grpc.Creds(keeper.Links()))
	wire.RegisterInstancesServer(server, receiver)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(socket) }()
	defer func() { server.Stop(); <-served }()
	address := netip.MustParseAddrPort(socket.Addr().String())
	message := redwingshunt.Message{Kind: redwingshunt.KindDigest}

	refused := make(chan struct{}, 16)
	impostor, _ := newSecuredLinker(t, authority, "node-c", "node-b")
	impostor.options.Identify = func(netip.AddrPort) (redwingshunt.InstanceID, bool) { return "node-a", true }
	impostor.options.Lost = func(redwingshunt.InstanceID) { refused <- struct{}{} }
	impostor.SendAddress(address, message)
	select {
	case <-refused:
	case from := <-received:
		t.Fatalf("a message of %s was received", from)
	}
	impostor.Close()

	honest, _ := newSecuredLinker(t, authority, "node-b", "node-b")
	defer honest.Close()
	honest.SendAddress(address, message)
	is.Equal(<-received, redwingshunt.InstanceID("node-b"))
}
