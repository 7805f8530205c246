package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of one message. They bound the memory that a broken or hostile sender
// can make a daemon allocate.
const (
	// MaxMessage is the largest encoded request or reply, in bytes.
	MaxMessage     = 4 << 20
	maxNesting     = 24
	maxCollections = 1 << 18
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // constant options: a defect of this file
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxCollections,
		MaxMapPairs:      maxCollections,
	}.DecMode()
	if err != nil {
		panic(err) // constant options: a defect of this file
	}
	return mode
}

// Marshal encodes a message the way calls do. Times keep their nanoseconds.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes a message the way calls do: unknown fields are ignored, so
// that a newer release may add fields; duplicate keys, trailing bytes and
// oversized collections are errors.
func Unmarshal(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("peer: decode %T: %w", v, err)
	}
	return nil
}
