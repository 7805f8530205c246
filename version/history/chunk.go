package history

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"fennelshunt.example/fennelshunt/connection/store"
)

// ChunkSize is the largest content of one chunk before compression, in bytes. It
// is well below the store's limit on values, so that a chunk also fits into one
// message between daemons.
const ChunkSize = 256 << 10

// maxBlobSize bounds the content that is assembled from chunks, in bytes.
const maxBlobSize = 64 << 20

// ErrNoChunk means that a source does not have a chunk.
var ErrNoChunk = errors.New("history: no such chunk")

// Chunks is a source of chunks. The data is compressed as in the store. A source need
// not be trusted, since readers verify the data against the hash.
type Chunks interface {
	Chunk(ctx context.Context, hash Hash) ([]byte, error)
}

// chunk is one piece of content, compressed.
type chunk struct {
	hash Hash
	data []byte
}

// split cuts content into compressed chunks and returns the blob that names it.
func split(content []byte) (Blob, []chunk, error) {
	blob := Blob{Size: int64(len(content))}
	var chunks []chunk
	for start := 0; start < len(content); start += ChunkSize {
		piece := content[start:min(start+ChunkSize, len(content))]
		data, err := compress(piece)
		if err != nil {
			return Blob{}, nil, err
		}
		c := chunk{hash: sha256.Sum256(piece), data: data}
		chunks = append(chunks, c)
		blob.Chunks = append(blob.Chunks, c.hash)
	}
	return blob, chunks, nil
}

func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return buffer.Bytes(), nil
}

// expand decompresses a chunk and checks it against its hash. The size is bounded,
// so that a corrupt chunk cannot exhaust memory.
func expand(hash Hash, data []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), ChunkSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: chunk %s: %w", ErrCorrupt, hash, err)
	}
	if len(content) > ChunkSize || sha256.Sum256(content) != hash {
		return nil, fmt.Errorf("%w: chunk %s does not match its hash", ErrCorrupt, hash)
	}
	return content, nil
}

// CheckChunk reports whether compressed data is the chunk that hash names; the
// error is ErrCorrupt.
func CheckChunk(hash Hash, data []byte) error {
	_, err := expand(hash, data)
	return err
}

// fetch assembles the content of a blob. It also returns the chunks as the
// source gave them.
func fetch(ctx context.Context, source Chunks, blob Blob) ([]byte, map[Hash][]byte, error) {
	if blob.Size < 0 || blob.Size > maxBlobSize || len(blob.Chunks) > maxBlobSize/ChunkSize {
		return nil, nil, fmt.Errorf("%w: content of %d bytes in %d chunks", ErrCorrupt, blob.Size, len(blob.Chunks))
	}
	var content []byte
	chunks := make(map[Hash][]byte, len(blob.Chunks))
	for _, hash := range blob.Chunks {
		data, err := source.Chunk(ctx, hash)
		if err != nil {
			return nil, nil, fmt.Errorf("chunk %s: %w", hash, err)
		}
		piece, err := expand(hash, data)
		if err != nil {
			return nil, nil, err
		}
		content = append(content, piece...)
		chunks[hash] = data
	}
	if int64(len(content)) != blob.Size {
		return nil, nil, fmt.Errorf("%w: %d bytes, want %d", ErrCorrupt, len(content), blob.Size)
	}
	return content, chunks, nil
}

// StoreChunks reads chunks from the store.
type StoreChunks struct{ Handle *store.Handle }

// Chunk implements Chunks.
func (s StoreChunks) Chunk(ctx context.Context, hash Hash) ([]byte, error) {
	item, err := s.Handle.Get(ctx, chunkKey(hash))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", ErrNoChunk, err)
	}
	if err != nil {
		return nil, err
	}
	return item.Data, nil
}

func chunkKey(hash Hash) string { return prefixChunk + hash.String() }

// writeChunk writes a chunk, or writes it again if it exists already. The new revision
// protects the chunk from a collector that has found it unreferenced: the collector
// deletes only the revision that it read.
func writeChunk(ctx context.Context, h *store.Handle, c chunk) error {
	key := chunkKey(c.hash)
	_, err := h.Swap(ctx, key, c.data, 0, 0)
	if errors.Is(err, store.ErrConflict) {
		_, err = h.Update(ctx, key, func([]byte, bool) ([]byte, error) { return c.data, nil })
	}
	if err != nil {
		return fmt.Errorf("write chunk: %w", err)
	}
	return nil
}

// parseChunkKey returns the hash that a key names.
func parseChunkKey(key string) (Hash, bool) {
	var hash Hash
	text, ok := strings.CutPrefix(key, prefixChunk)
	if !ok || len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}
