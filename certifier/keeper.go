package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"github.com/redwingshunt/redwingshunt"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// material is the content of the files when they were last read.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// fileStamp identifies a version of a file, to detect changes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Keeper holds the certificates of an instance and reloads them when their files
// change. It is safe for concurrent use.
type Keeper struct {
	files redwingshunt.TLSFiles
	now   func() time.Time

	mu      sync.Mutex
	current material
	stamps  [3]fileStamp
	checked time.Time
	err     error // of the last reload
}

// Open loads the files and returns a Keeper for them. It returns an error if they
// can't be read.
func Open(files redwingshunt.TLSFiles, now func() time.Time) (*Keeper, error) {
	k := &Keeper{files: files, now: now}
	stamps, err := k.stat()
	if err != nil {
		return nil, err
	}
	if k.current, err = k.read(); err != nil {
		return nil, err
	}
	k.stamps, k.checked = stamps, now()
	return k, nil
}

// Err returns the error of the last reload, or nil if the newest files are in use.
func (k *Keeper) Err() error {
	k.material()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err
}

// material returns the certificates in use, after checking the files for changes.
func (k *Keeper) material() material {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.now(); now.Sub(k.checked) >= checkInterval {
		k.checked = now
		k.reload()
	}
	return k.current
}

// reload reads the files if they have changed. After an error the previous
// certificates stay in use, and the next check tries again.
func (k *Keeper) reload() {
	stamps, err := k.stat()
	if err == nil && stamps == k.stamps {
		k.err = nil
		return
	}
	if err == nil {
		var next material
		if next, err = k.read(); err == nil {
			k.current, k.stamps = next, stamps
		}
	}
	k.err = err
}

// stat returns the stamps of the files.
func (k *Keeper) stat() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, trace.ConvertSystemError(err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// read loads the certificates from the files.
func (k *Keeper) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return material{}, trace.Wrap(err, "%s with %s", k.files.Cert, k.files.Key)
	}
	text, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return material{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, trace.BadParameter("%s holds no certificate", k.files.Authority)
	}
	return material{certificate: &certificate, authority: pool}, nil
}

// Server returns the TLS configuration of a listener for callers, upstreams and
// operators. It requests no client certificate, as they authenticate with keys.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.material().certificate, nil
		},
	}
}

// LinkServer returns the TLS configuration of the listener for links. The peer
// must present a certificate signed by the authority.
func (k *Keeper) LinkServer() *tls.Config {
	config := k.Server()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return k.verify(state, x509.ExtKeyUsageClientAuth, "")
	}
	return config
}

// LinkClient returns the TLS configuration for dialling a link to an address. The
// peer must present a certificate signed by the authority for that address. The
// check is made here rather than by crypto/tls, which reads its pool only once.
// The address is an argument because tls.ConnectionState has no IP address.
func (k *Keeper) LinkClient(address netip.Addr) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain and the address
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.material().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, x509.ExtKeyUsageServerAuth, address.String())
		},
	}
}

// Links returns the gRPC credentials of links between instances, for both ends.
func (k *Keeper) Links() credentials.TransportCredentials {
	return &linkCredentials{TransportCredentials: credentials.NewTLS(k.LinkServer()), keeper: k}
}

// linkCredentials verifies the server's certificate against the remote address of
// the connection.
type linkCredentials struct {
	credentials.TransportCredentials // of the server
	keeper                           *Keeper
}

// ClientHandshake implements credentials.TransportCredentials.
func (l *linkCredentials) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	address, err := netip.ParseAddrPort(connection.RemoteAddr().String())
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return credentials.NewTLS(l.keeper.LinkClient(address.Addr().Unmap())).ClientHandshake(ctx, authority, connection)
}

// Clone implements credentials.TransportCredentials.
func (l *linkCredentials) Clone() credentials.TransportCredentials {
	return &linkCredentials{TransportCredentials: l.TransportCredentials.Clone(), keeper: l.keeper}
}

// PeerOf returns the instance named in the peer certificate of a gRPC stream. It
// is empty for a stream without TLS.
func PeerOf(ctx context.Context) redwingshunt.InstanceID {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return ""
	}
	return Peer(info.State)
}

// verify checks the certificate of a peer against the authority in use. The name
// is the dialled address, or empty for an incoming connection.
func (k *Keeper) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: k.material().authority, Intermediates: intermediates, DNSName: name,
		CurrentTime: k.now(), KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return trace.Wrap(err)
}

// Peer returns the instance named in the peer certificate of a verified
// connection, or empty if the certificate names none.
func Peer(state tls.ConnectionState) redwingshunt.InstanceID {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return redwingshunt.InstanceID(state.PeerCertificates[0].DNSNames[0])
}
