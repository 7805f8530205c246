package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// addSeeds gives a fuzzer complete, truncated and invalid frames of v.
func addSeeds(f *testing.F, v any) {
	frame, err := encodeFrame(v)
	require.NoError(f, err)
	f.Add(frame)
	f.Add(frame[:len(frame)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xa0})
	f.Add([]byte{0, 0, 0, 3, 0x9f, 0x9f, 0x9f})
}

// fuzzFrame decodes bytes as a frame of type T. A decoded value must stay the same
// when it is encoded and decoded again.
func fuzzFrame[T any](f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second T
		if readFrame(bytes.NewReader(data), &first) != nil {
			return
		}
		frame, err := encodeFrame(first)
		require.NoError(t, err)
		require.NoError(t, readFrame(bytes.NewReader(frame), &second))
		again, err := encodeFrame(second)
		require.NoError(t, err)
		require.Equal(t, frame, again)
	})
}

func FuzzHello(f *testing.F) {
	addSeeds(f, newHello("a", 1))
	fuzzFrame[hello](f)
}

func FuzzRequest(f *testing.F) {
	addSeeds(f, request{Method: "m", To: Ref{ID: "a", Incarnation: 1}, Payload: []byte("p"), Budget: 5})
	fuzzFrame[request](f)
}

func FuzzReply(f *testing.F) {
	addSeeds(f, reply{Status: statusRemoteError, Error: &RemoteError{Code: "c", Message: "m"}})
	fuzzFrame[reply](f)
}
