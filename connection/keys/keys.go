// Package keys loads certificates and private keys from PEM files, reloads
// them when they change, and builds the TLS configurations of the system:
// mutual TLS between daemons, and TLS for callers and operators.
//
// Guarantees: a connection made after a reload uses the new files; if files cannot
// be loaded or do not match each other, this is reported and the earlier ones stay
// in use; open connections are not closed.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// PeerName is the DNS name that the certificate of every daemon must contain.
// Daemons check it on both sides, so that a certificate issued by the same
// authority for another purpose is not accepted as that of a daemon.
const PeerName = "fennelshunt-peer"

// Errors of loading. Test with errors.Is; *FileError names the file.
var (
	ErrNoCertificate = errors.New("no certificate in the file")
	ErrMismatch      = errors.New("the private key does not belong to the certificate")
	ErrExpired       = errors.New("the certificate is not valid now")
)

// FileError reports which file could not be used and why.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("keys: %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Files names the PEM files of one identity.
type Files struct {
	Cert string `json:"cert"` // certificate chain, leaf first
	Key  string `json:"key"`  // private key
	// CA holds the authorities that verify the certificates of the remote side.
	// Without it no certificate verifies, and callers are not asked for one.
	CA string `json:"ca"`
}

// material is the content of one consistent set of files.
type material struct {
	cert    tls.Certificate
	leaf    *x509.Certificate
	roots   *x509.CertPool // never nil: a nil pool means the system roots
	digests [3][32]byte    // of the files, to detect a change
	// authorities is set when an authority file is named.
	authorities bool
}

// Keys is an identity in use; safe for concurrent use.
type Keys struct {
	files   Files
	current atomic.Pointer[material]
}

// Load reads the files. The error is a *FileError.
func Load(files Files) (*Keys, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	k := &Keys{files: files}
	k.current.Store(m)
	return k, nil
}

// NotAfter returns when the certificate in use expires.
func (k *Keys) NotAfter() time.Time { return k.current.Load().leaf.NotAfter }

func read(files Files) (*material, error) {
	certPEM, err := readFile(files.Cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readFile(files.Key)
	if err != nil {
		return nil, err
	}
	var caPEM []byte
	if files.CA != "" {
		if caPEM, err = readFile(files.CA); err != nil {
			return nil, err
		}
	}
	return parse(files, certPEM, keyPEM, caPEM)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return data, nil
}
