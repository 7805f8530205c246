package history

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecoders passes the same bytes to every decoder of this package. Operations on a
// head that is accepted must not panic, whatever it contains.
func FuzzDecoders(f *testing.F) {
	s := newStore()
	h := newHistory(s)
	for v := range 2*SegmentLength + 1 {
		mustApply(f, h, fileOf("a", v+1), uint64(v))
	}
	entries, _, err := h.handle.List(context.Background(), "config/")
	require.NoError(f, err)
	for _, e := range entries {
		f.Add(e.Data)
	}
	f.Add([]byte(`{"file":{"name":"a"},"generations":{"j":0}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if head, err := DecodeHead(data); err == nil {
			for v := head.Version; v > 0 && v+3 > head.Version; v-- {
				head.change(v)
			}
			if u, err := Empty().UpdateFrom(context.Background(), head, memoryChunks{}); err == nil && u.Version > 0 {
				_, _ = Empty().Advance(context.Background(), u, memoryChunks{})
			}
		}
		_, _ = decodeIndex(data)
		_, _ = decodeSegment(data, 1)
		_, _ = decodeContent(data, Change{File: "a", Version: 9})
		if content, err := expand(Hash{}, data); err == nil && len(content) > ChunkSize {
			t.Fatal("a chunk larger than allowed")
		}
	})
}
