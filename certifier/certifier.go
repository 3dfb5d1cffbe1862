// Package certifier makes the certificates of a fleet and serves them.
//
// A fleet has one authority, a self-signed certificate with its key. Each
// instance has a certificate of the authority that carries its name and its IP
// numbers. Callers, upstreams and operators check the instance; instances check
// each other (mutual TLS), also that a peer is the instance that it says it is.
//
// Certificates are read again when their files have changed, without a restart:
// new handshakes use the new files, running connections go on. Files that can't
// be read leave the old ones in force.
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

// skew is how far the clocks of a fleet may differ for a new certificate to be
// valid at once.
const skew = 5 * time.Minute

// serialBits is the size of the random serial number of a certificate.
const serialBits = 128

// Pair is a certificate and its private key, both as PEM.
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

// NewAuthority makes an authority that is valid for a time from now on.
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

// ParseAuthority reads an authority that was made before.
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

// Issue makes the certificate of one instance, for its name and addresses.
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

// newTemplate returns what all certificates have in common.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-skew), NotAfter: now.Add(valid), BasicConstraintsValid: true,
	}, nil
}

// newKey makes a private key.
func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, trace.Wrap(err)
}

// sign makes a certificate for a key by the key of its parent.
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
