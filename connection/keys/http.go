package keys

import "crypto/tls"

// PeerHTTPConfig returns the mutual TLS configuration of an HTTP server for
// other daemons. Unlike PeerConfig it uses the standard verification, which fills
// in the verified chains by which a handler recognizes an authenticated daemon.
// Each handshake makes a new configuration, so that a reload replaces the
// authorities too.
func (k *Keys) PeerHTTPConfig() *tls.Config {
	base := k.PeerConfig()
	base.NextProtos = []string{"http/1.1"}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.GetConfigForClient = nil
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = k.current.Load().roots
		return c, nil
	}
	return base
}
