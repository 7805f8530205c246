package work

import (
	"fmt"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// catalogRecord is the form of a catalog in messages between daemons. It holds only digests
// of keys.
type catalogRecord struct {
	Version  int64         `cbor:"1,keyasint"`
	Queues   []queueRecord `cbor:"2,keyasint"`
	MaxBody  int64         `cbor:"3,keyasint"`
	Keyed    bool          `cbor:"4,keyasint"` // the configuration declares accounts
	Accounts []Account     `cbor:"5,keyasint,omitempty"`
}

type queueRecord struct {
	Queue Queue `cbor:"1,keyasint"`
	Open  bool  `cbor:"2,keyasint,omitempty"`
}

// EncodeCatalog returns the form of a catalog in which daemons exchange it.
func EncodeCatalog(c *Catalog) ([]byte, error) {
	r := catalogRecord{Version: c.Version, MaxBody: c.MaxBody, Keyed: c.Accounts != nil, Accounts: c.Accounts.All()}
	for _, q := range c.Queues {
		r.Queues = append(r.Queues, queueRecord{q, q.Open})
	}
	return peer.Marshal(r)
}

// DecodeCatalog decodes the result of EncodeCatalog.
func DecodeCatalog(data []byte) (*Catalog, error) {
	var r catalogRecord
	if err := peer.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("work: catalog of another daemon: %w", err)
	}
	c := &Catalog{Version: r.Version, MaxBody: r.MaxBody}
	for _, q := range r.Queues {
		q.Queue.Open = q.Open
		c.Queues = append(c.Queues, q.Queue)
	}
	if r.Keyed {
		c.Accounts, c.Problems = NewAccounts(r.Accounts)
	}
	return c, nil
}
