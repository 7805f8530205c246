package lead

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

const keyAuthority = "authority"

// authorityRecord is the cell's certificate authority for daemon certificates. It
// protects against peers that can reach a daemon's address but not the store; anyone
// who can read the store can join the cell, as the daemons themselves do.
type authorityRecord struct {
	Cert []byte `cbor:"1,keyasint"`
	Key  []byte `cbor:"2,keyasint"`
}

// Identity returns the keys for calls between the cell's daemons, with a certificate for
// the given IP address. It reads the certificate authority from the store, and creates it
// there if there is none.
func Identity(ctx context.Context, s store.Transactor, ip string) (*keys.Keys, error) {
	for {
		entry, err := s.Get(ctx, keyAuthority)
		if errors.Is(err, store.ErrNotFound) {
			if err := createAuthority(ctx, s); err != nil && !errors.Is(err, store.ErrConflict) {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		var r authorityRecord
		if err := peer.Unmarshal(entry.Value, &r); err != nil {
			return nil, fmt.Errorf("lead: authority: %w", err)
		}
		authority, err := keys.ParseAuthority(r.Cert, r.Key)
		if err != nil {
			return nil, err
		}
		return authority.Identity(ip)
	}
}

func createAuthority(ctx context.Context, s store.Transactor) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	key, err := authority.KeyPEM()
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, keyAuthority, encode(authorityRecord{Cert: authority.PEM(), Key: key}), 0, 0)
	return err
}
