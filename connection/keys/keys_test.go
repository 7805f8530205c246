package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// write writes a new certificate for the names, its key and the authority to the files.
func write(t *testing.T, files Files, a *Authority, names ...string) {
	certPEM, keyPEM, err := a.Issue(names...)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Cert, certPEM, 0o600))
	require.NoError(t, os.WriteFile(files.Key, keyPEM, 0o600))
	require.NoError(t, os.WriteFile(files.CA, a.PEM(), 0o600))
}

func filesIn(dir string) Files {
	return Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

func authority(t *testing.T) *Authority {
	a, err := NewAuthority()
	require.NoError(t, err)
	return a
}

// handshake connects a client to a server and returns the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	const limit = 10 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		err = errors.Join(conn.SetDeadline(time.Now().Add(limit)), tls.Server(conn, server).Handshake())
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(limit)))
	clientErr = tls.Client(conn, client).Handshake()
	if clientErr != nil {
		conn.Close()
	}
	return clientErr, <-done
}

func TestLoadNamesTheFile(t *testing.T) {
	a := authority(t)
	for _, c := range []struct {
		name    string
		corrupt func(Files) string
		want    error
	}{
		{"no certificate file", func(f Files) string { _ = os.Remove(f.Cert); return f.Cert }, os.ErrNotExist},
		{"no key file", func(f Files) string { _ = os.Remove(f.Key); return f.Key }, os.ErrNotExist},
		{"no authority file", func(f Files) string { _ = os.Remove(f.CA); return f.CA }, os.ErrNotExist},
		{"certificate file without certificate", func(f Files) string { _ = os.WriteFile(f.Cert, []byte("x"), 0o600); return f.Cert }, ErrNoCertificate},
		{"authority file without certificate", func(f Files) string { _ = os.WriteFile(f.CA, nil, 0o600); return f.CA }, ErrNoCertificate},
		{"key of another certificate", func(f Files) string {
			_, key, _ := a.Issue(PeerName)
			_ = os.WriteFile(f.Key, key, 0o600)
			return f.Key
		}, ErrMismatch},
	} {
		t.Run(c.name, func(t *testing.T) {
			files := filesIn(t.TempDir())
			write(t, files, a, PeerName)
			_, err := Load(files)
			require.NoError(t, err)
			path := c.corrupt(files)
			_, err = Load(files)
			var fileErr *FileError
			require.ErrorAs(t, err, &fileErr)
			require.Equal(t, path, fileErr.Path)
			require.ErrorIs(t, err, c.want)
		})
	}
}

func TestPeersVerifyEachOther(t *testing.T) {
	a, b := authority(t), authority(t)
	load := func(a *Authority, names ...string) *tls.Config {
		files := filesIn(t.TempDir())
		write(t, files, a, names...)
		k, err := Load(files)
		require.NoError(t, err)
		return k.PeerConfig()
	}
	daemon, other := load(a, PeerName), load(a, PeerName)
	clientErr, serverErr := handshake(t, daemon, other)
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
	for name, client := range map[string]*tls.Config{
		"another authority": load(b, PeerName),
		"another name":      load(a, "survey-desk"),
		"no certificate":    {InsecureSkipVerify: true},
	} {
		_, serverErr := handshake(t, client, daemon)
		require.Error(t, serverErr, "%s as the client", name)
	}
	clientErr, _ = handshake(t, daemon, load(a, "survey-desk"))
	require.Error(t, clientErr, "another name as the server")
}

func TestServerAndClient(t *testing.T) {
	k, err := Ephemeral("entry.example")
	require.NoError(t, err)
	client := k.ClientConfig()
	client.ServerName = "entry.example"
	clientErr, serverErr := handshake(t, client, k.ServerConfig())
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
	client.ServerName = "else.example"
	clientErr, _ = handshake(t, client, k.ServerConfig())
	require.Error(t, clientErr)
}

// chains connects a client to a server and returns how many chains the server
// verified. The client presents cert unless it is nil.
func chains(t *testing.T, cert *tls.Certificate, server *tls.Config) (int, error) {
	verified := 0
	server = server.Clone()
	inner := server.GetConfigForClient
	server.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		c := server.Clone()
		if inner != nil {
			var err error
			if c, err = inner(hello); err != nil {
				return nil, err
			}
		}
		c.VerifyConnection = func(state tls.ConnectionState) error {
			verified = len(state.VerifiedChains)
			return nil
		}
		return c, nil
	}
	client := &tls.Config{InsecureSkipVerify: true}
	if cert != nil {
		// Presented regardless of the authorities that the server accepts.
		client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert, nil }
	}
	_, err := handshake(t, client, server)
	return verified, err
}

// TestServerVerifiesCertificatesOfCallers guards against accepting a caller as another
// team, if the listener requests no certificate and handlers have to rely on headers; and
// against refusing callers after the authorities were replaced, if the listener keeps
// using the initial ones.
func TestServerVerifiesCertificatesOfCallers(t *testing.T) {
	files, a, b := filesIn(t.TempDir()), authority(t), authority(t)
	write(t, files, a, "entry.example")
	k, err := Load(files)
	require.NoError(t, err)
	issue := func(a *Authority) *tls.Certificate {
		certPEM, keyPEM, err := a.Issue("registrar")
		require.NoError(t, err)
		cert, err := tls.X509KeyPair(certPEM, keyPEM)
		require.NoError(t, err)
		return &cert
	}
	ofA, ofB, server := issue(a), issue(b), k.ServerConfig()
	check := func(cert *tls.Certificate, verified int, refused bool) {
		t.Helper()
		n, err := chains(t, cert, server)
		require.Equal(t, refused, err != nil, "%v", err)
		require.Equal(t, verified, n)
	}
	check(nil, 0, false)
	check(ofA, 1, false)
	check(ofB, 0, true)

	write(t, files, b, "entry.example")
	changed, err := k.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	check(ofB, 1, false)
	check(ofA, 0, true)
}

// TestKeysWithoutAuthority guards against a daemon that does not start without
// tls.callers.ca, which is optional, because it reads the file with the empty name; and
// against accepting any holder of a public certificate as a daemon, since a nil pool
// means the system roots.
func TestKeysWithoutAuthority(t *testing.T) {
	files, a := filesIn(t.TempDir()), authority(t)
	write(t, files, a, PeerName)
	files.CA = ""
	k, err := Load(files)
	require.NoError(t, err)
	n, err := chains(t, &k.current.Load().cert, k.ServerConfig())
	require.NoError(t, err)
	require.Zero(t, n, "no certificate is requested")
	_, serverErr := handshake(t, k.PeerConfig(), k.PeerConfig())
	require.Error(t, serverErr, "no peer is trusted")
}

// TestReload guards against daemons that stop trusting each other after an authority was
// replaced, if configurations keep the old pool, and against loading a mix of old and new
// files while the files are replaced one after the other.
func TestReload(t *testing.T) {
	dir, a, b := t.TempDir(), authority(t), authority(t)
	files := filesIn(dir)
	write(t, files, a, PeerName)
	k, err := Load(files)
	require.NoError(t, err)
	config := k.PeerConfig()
	before := k.NotAfter()
	changed, err := k.Reload()
	require.NoError(t, err)
	require.False(t, changed)

	certPEM, keyPEM, err := b.Issue(PeerName)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Cert, certPEM, 0o600))
	_, err = k.Reload()
	require.ErrorIs(t, err, ErrMismatch)
	require.Equal(t, before, k.NotAfter())

	require.NoError(t, os.WriteFile(files.Key, keyPEM, 0o600))
	require.NoError(t, os.WriteFile(files.CA, b.PEM(), 0o600))
	changed, err = k.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	peerFiles := filesIn(t.TempDir())
	write(t, peerFiles, b, PeerName)
	peerKeys, err := Load(peerFiles)
	require.NoError(t, err)
	clientErr, serverErr := handshake(t, peerKeys.PeerConfig(), config)
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
}

// FuzzParse feeds invalid PEM: parse must return an error or a consistent set.
func FuzzParse(f *testing.F) {
	a, err := NewAuthority()
	require.NoError(f, err)
	certPEM, keyPEM, err := a.Issue(PeerName)
	require.NoError(f, err)
	f.Add(certPEM, keyPEM, a.PEM())
	f.Add(certPEM[:len(certPEM)/2], keyPEM, a.PEM())
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----\n"), keyPEM, a.PEM())
	f.Fuzz(func(t *testing.T, certPEM, keyPEM, caPEM []byte) {
		m, err := parse(Files{}, certPEM, keyPEM, caPEM)
		if err != nil {
			var fileErr *FileError
			require.ErrorAs(t, err, &fileErr)
			return
		}
		require.NotNil(t, m.leaf)
		require.NotNil(t, m.roots)
	})
}
