package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

var errNoPeerCertificate = errors.New("keys: the other side sent no certificate")

// PeerConfig returns the mutual TLS configuration between daemons, for both
// directions. Each handshake uses the files as last loaded.
//
// Verification is done in VerifyConnection because the standard one uses the pool
// that was set when the configuration was made, which a reload of the authority
// file could not replace. The checks are the same: chain, validity, name.
func (k *Keys) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ServerName:             PeerName,
		GetCertificate:         k.serverCertificate,
		GetClientCertificate:   k.clientCertificate,
		ClientAuth:             tls.RequireAnyClientCert, // VerifyConnection verifies it
		InsecureSkipVerify:     true,                     // VerifyConnection verifies instead
		VerifyConnection:       k.verifyPeer,
		SessionTicketsDisabled: true,
	}
}

// ServerConfig returns the configuration of a server for callers or operators,
// who need no certificate. With an authority file they may present one, which
// must then verify; each handshake makes a new configuration, so that a reload
// replaces the authorities too.
//
// Handlers take a caller's identity from the verified chains. If no certificate were
// requested, they could only rely on the name that a caller writes in a header, and
// requests could be counted for the wrong team.
func (k *Keys) ServerConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.serverCertificate}
	if !k.current.Load().authorities {
		return base
	}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.GetConfigForClient = nil
		c.ClientAuth = tls.VerifyClientCertIfGiven
		c.ClientCAs = k.current.Load().roots
		return c, nil
	}
	return base
}

// ClientConfig returns the configuration of a client that presents this
// identity when asked and accepts servers of the loaded authorities, by the
// name it dialled.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: k.clientCertificate,
		InsecureSkipVerify:   true, // VerifyConnection verifies instead
		VerifyConnection:     k.verifyServer,
	}
}

func (k *Keys) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &k.current.Load().cert, nil
}

func (k *Keys) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &k.current.Load().cert, nil
}

func (k *Keys) verifyPeer(state tls.ConnectionState) error {
	return k.verify(state, PeerName)
}

func (k *Keys) verifyServer(state tls.ConnectionState) error {
	return k.verify(state, state.ServerName)
}

func (k *Keys) verify(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         k.current.Load().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
