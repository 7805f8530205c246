// Package keyset implements 'fennelctl keys', which creates key files for trial
// deployments: a certificate authority and one identity that all daemons share.
package keyset

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/connection/keys"
)

// Names of the files written.
const (
	FileCA   = "ca.pem"
	FileCert = "peer.pem"
	FileKey  = "peer-key.pem"
)

const (
	modePublic  = 0o644
	modePrivate = 0o600
)

// Command returns the keys command of fennelctl.
func Command(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelctl keys", flag.ContinueOnError)
	dir := fs.String("dir", "", "folder to write "+FileCA+", "+FileCert+" and "+FileKey+" into; existing files are kept")
	return &ffcli.Command{
		Name: "keys", ShortUsage: "fennelctl keys -dir FOLDER [address ...]", FlagSet: fs,
		ShortHelp: "Create key files for a trial deployment; the authority's private key is not stored.",
		Exec: func(_ context.Context, names []string) error {
			if *dir == "" {
				return fmt.Errorf("flag -dir: the folder is required")
			}
			if err := Write(*dir, names...); err != nil {
				return err
			}
			fmt.Fprintln(out, "wrote", filepath.Join(*dir, FileCA), filepath.Join(*dir, FileCert), filepath.Join(*dir, FileKey))
			return nil
		},
	}
}

// Write creates the files in dir. The identity is valid between daemons and,
// towards callers, for loopback and the given names and addresses. Existing
// files are never replaced: Write fails instead.
func Write(dir string, names ...string) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	cert, key, err := authority.Issue(append([]string{keys.PeerName, "localhost", "127.0.0.1", "::1"}, names...)...)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	for _, f := range []struct {
		name string
		data []byte
		mode os.FileMode
	}{{FileCA, authority.PEM(), modePublic}, {FileCert, cert, modePublic}, {FileKey, key, modePrivate}} {
		if err := create(filepath.Join(dir, f.name), f.data, f.mode); err != nil {
			return err
		}
	}
	return nil
}

func create(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close() // the write error is reported
		return fmt.Errorf("keys: %w", err)
	}
	return f.Close()
}
