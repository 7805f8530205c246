package keys

import "crypto/tls"

// PeerHTTPConfig returns the mutual TLS configuration of an HTTP server for
// other daemons. Unlike PeerConfig it lets the standard verification fill in
// the verified chains, by which a handler tells an authenticated daemon from
// anybody else; the configuration is made anew for each handshake, so that a
// reload replaces the authorities too.
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
