// Package certifier issues the TLS certificates of a fleet and reloads them at
// run time.
//
// A fleet has one certificate authority, a self-signed certificate with its key.
// Each instance has a certificate signed by the authority that contains its name
// and its IP addresses. Callers, upstreams and operators verify the instance;
// instances verify each other (mutual TLS), including that a peer is the instance
// that it claims to be.
//
// Certificates are reloaded without a restart when their files change: new
// handshakes use the new files, established connections continue. If the files
// can't be read, the previous certificates stay in use.
//
// # Usage
//
//	authority, err := certifier.NewAuthority(now, 10*365*24*time.Hour)
//	pair, err := authority.Issue("node-a", []netip.Addr{address}, now, 365*24*time.Hour)
//
//	keeper, err := certifier.Open(settings.TLS, time.Now)
//	server := http.Server{TLSConfig: keeper.Server()}
//	links := grpc.NewServer(grpc.Creds(keeper.Links()))
//	connection, err := grpc.NewClient(target, grpc.WithTransportCredentials(keeper.Links()))
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
)

// maxClockSkew is the largest clock difference within a fleet at which a new
// certificate is valid immediately.
const maxClockSkew = 5 * time.Minute

// serialBits is the size of the random serial number of a certificate, in bits.
const serialBits = 128

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of a fleet.
type Authority struct {
	pair        Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Pair returns the certificate and key of the authority.
func (a *Authority) Pair() Pair { return a.pair }

// NewAuthority creates an authority that is valid for the given duration from now.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	template, err := newTemplate("redwingshunt fleet", now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority parses an existing authority. It returns an error if the pair is
// not PEM, or if it is not a CA certificate with its ECDSA key.
func ParseAuthority(pair Pair) (*Authority, error) {
	certificate, _ := pem.Decode(pair.Certificate)
	key, _ := pem.Decode(pair.Key)
	if certificate == nil || key == nil {
		return nil, trace.BadParameter("the authority is not PEM")
	}
	parsed, err := x509.ParseCertificate(certificate.Bytes)
	if err != nil {
		return nil, trace.Wrap(err, "the certificate of the authority")
	}
	private, err := x509.ParsePKCS8PrivateKey(key.Bytes)
	if err != nil {
		return nil, trace.Wrap(err, "the key of the authority")
	}
	signer, ok := private.(*ecdsa.PrivateKey)
	if !ok || !parsed.IsCA || !signer.PublicKey.Equal(parsed.PublicKey) {
		return nil, trace.BadParameter("the certificate and the key are no authority")
	}
	return &Authority{pair: pair, certificate: parsed, key: signer}, nil
}

// Issue creates the certificate of one instance, for its name and addresses. It
// returns an error if the name or the list of addresses is empty.
func (a *Authority) Issue(instance redwingshunt.InstanceID, addresses []netip.Addr, now time.Time, valid time.Duration) (Pair, error) {
	if instance == "" || len(addresses) == 0 {
		return Pair{}, trace.BadParameter("a certificate needs the name of an instance and an address")
	}
	template, err := newTemplate(string(instance), now, valid)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{string(instance)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	return sign(template, a.certificate, key, a.key)
}

// newTemplate returns a template with the fields that all certificates share.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(valid), BasicConstraintsValid: true,
	}, nil
}

// newKey generates a P-256 private key.
func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, trace.Wrap(err)
}

// sign creates a certificate for key, signed with the key of its parent.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, trace.Wrap(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, trace.Wrap(err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}
