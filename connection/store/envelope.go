package store

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// envelopeOverhead is an upper bound on the size of the envelope around a value,
// in bytes: an array head, a 16-byte id with its head and the head of the data.
const envelopeOverhead = 32

// MaxDataSize is the largest data that a Handle writes, in bytes.
const MaxDataSize = MaxValueSize - envelopeOverhead

// ErrNotEnveloped means that a value was not written by a Handle.
var ErrNotEnveloped = errors.New("store: value without a write id")

// writeID identifies one write. After a lost response the writer reads the key
// back and recognizes its own write by the id.
type writeID [16]byte

func newWriteID() writeID { return writeID(uuid.New()) }

// envelope is a value as stored.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	ID   []byte
	Data []byte
}

func sealEnvelope(id writeID, data []byte) ([]byte, error) {
	if len(data) > MaxDataSize {
		return nil, fmt.Errorf("%d bytes: %w", len(data), ErrTooLarge)
	}
	value, err := cbor.Marshal(envelope{ID: id[:], Data: data})
	if err != nil {
		return nil, fmt.Errorf("seal value: %w", err)
	}
	return value, nil
}

func openEnvelope(value []byte) (writeID, []byte, error) {
	var e envelope
	if err := cbor.Unmarshal(value, &e); err != nil {
		return writeID{}, nil, fmt.Errorf("%w: %w", ErrNotEnveloped, err)
	}
	if len(e.ID) != len(writeID{}) {
		return writeID{}, nil, fmt.Errorf("%w: id of %d bytes", ErrNotEnveloped, len(e.ID))
	}
	return writeID(e.ID), e.Data, nil
}

// itemOf opens the envelope of an entry.
func itemOf(e Entry) (Item, writeID, error) {
	id, data, err := openEnvelope(e.Value)
	if err != nil {
		return Item{}, writeID{}, fmt.Errorf("key %s: %w", e.Key, err)
	}
	return Item{Key: e.Key, Data: data, Revision: e.Revision}, id, nil
}
