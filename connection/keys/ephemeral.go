package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

const (
	ephemeralValidity = 30 * 24 * time.Hour
	clockSkew         = time.Hour
	serialBits        = 127
)

// Authority issues certificates for tests and demonstrations. It is kept in memory
// only. Its own certificate and those that it issues are valid for 30 days.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority makes a self-signed authority.
func NewAuthority() (*Authority, error) {
	template, err := newTemplate("fennelshunt ephemeral authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: generate: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("keys: sign: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: parse own certificate: %w", err)
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return a.pem }

// Issue signs a certificate for the names, which are DNS names or IP addresses,
// that is valid for servers and clients. It returns PEM.
func (a *Authority) Issue(names ...string) (certPEM, keyPEM []byte, err error) {
	template, err := newTemplate("fennelshunt ephemeral")
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: generate: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: sign: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: encode key: %w", err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

// Ephemeral returns keys of a new authority, valid for PeerName, localhost, the
// loopback addresses and the given names, for tests and demonstrations. Daemons
// that must trust each other share the returned value.
func Ephemeral(names ...string) (*Keys, error) {
	authority, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	return authority.Identity(append([]string{"localhost", "127.0.0.1", "::1"}, names...)...)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: serial: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(ephemeralValidity),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
