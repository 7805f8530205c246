package keys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ErrNoAuthority means that the PEM data is not that of an authority.
var ErrNoAuthority = errors.New("keys: not the certificate and key of an authority")

// KeyPEM returns the authority's private key, with which certificates can be issued
// that the cell's daemons trust.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, fmt.Errorf("keys: encode key: %w", err)
	}
	return encodePEM("PRIVATE KEY", der), nil
}

// ParseAuthority is the inverse of PEM and KeyPEM. The error matches ErrNoAuthority.
func ParseAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAuthority, err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, ErrNoAuthority
	}
	return &Authority{cert: pair.Leaf, key: key, pem: certPEM}, nil
}

// Identity returns keys for a daemon, issued by the authority for PeerName and the
// given names, and kept in memory only.
func (a *Authority) Identity(names ...string) (*Keys, error) {
	certPEM, keyPEM, err := a.Issue(append([]string{PeerName}, names...)...)
	if err != nil {
		return nil, err
	}
	m, err := parse(Files{}, certPEM, keyPEM, a.pem)
	if err != nil {
		return nil, err
	}
	k := &Keys{}
	k.current.Store(m)
	return k, nil
}
