package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"time"
)

// parse checks that the three files match each other. The error names the file
// that an operator has to correct.
func parse(files Files, certPEM, keyPEM, caPEM []byte) (*material, error) {
	if _, err := firstCertificate(certPEM); err != nil {
		return nil, &FileError{Path: files.Cert, Err: err}
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, &FileError{Path: files.Key, Err: fmt.Errorf("%w: %w", ErrMismatch, err)}
	}
	now := time.Now()
	if now.Before(cert.Leaf.NotBefore) || now.After(cert.Leaf.NotAfter) {
		return nil, &FileError{Path: files.Cert, Err: fmt.Errorf("%w: valid from %s to %s",
			ErrExpired, cert.Leaf.NotBefore, cert.Leaf.NotAfter)}
	}
	roots, authorities := x509.NewCertPool(), files.CA != "" || len(caPEM) > 0
	if authorities {
		if roots, err = parseRoots(caPEM); err != nil {
			return nil, &FileError{Path: files.CA, Err: err}
		}
	}
	return &material{
		cert:    cert,
		leaf:    cert.Leaf,
		roots:   roots,
		digests: [3][32]byte{sha256.Sum256(certPEM), sha256.Sum256(keyPEM), sha256.Sum256(caPEM)},

		authorities: authorities,
	}, nil
}

func firstCertificate(data []byte) (*x509.Certificate, error) {
	for {
		block, rest := pem.Decode(data)
		if block == nil {
			return nil, ErrNoCertificate
		}
		if block.Type == "CERTIFICATE" {
			return x509.ParseCertificate(block.Bytes)
		}
		data = rest
	}
}

func parseRoots(caPEM []byte) (*x509.CertPool, error) {
	if _, err := firstCertificate(caPEM); err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, ErrNoCertificate
	}
	return roots, nil
}
