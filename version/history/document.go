package history

import (
	"context"
	"encoding/json"
	"fmt"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Document is one file of a Snapshot, in force or removed: its last change, its
// content and the chunks that hold the content. It is immutable.
type Document struct {
	Change  Change
	Applied *spec.Applied // nil when the file was removed
	Chunks  map[Hash][]byte
}

// content is the JSON form of a document in its chunks. Generations leaves out
// the jobs that the document itself changed, since it is written before its version
// number is known and must stay the same when the apply is retried on a later head.
type content struct {
	File        *spec.File        `json:"file"`
	Generations map[string]uint64 `json:"generations,omitempty"`
}

func encodeContent(applied *spec.Applied) ([]byte, error) {
	data, err := json.Marshal(content{File: applied.File, Generations: applied.Generations})
	if err != nil {
		return nil, fmt.Errorf("encode file: %w", err)
	}
	return data, nil
}

// decodeContent ignores unknown fields, since a later release may have applied the
// file.
func decodeContent(data []byte, change Change) (*spec.Applied, error) {
	var c content
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: file %s: %w", ErrCorrupt, change.File, err)
	}
	if c.File == nil || c.File.Name != change.File {
		return nil, fmt.Errorf("%w: file %s: the content is of another file", ErrCorrupt, change.File)
	}
	for job, generation := range c.Generations {
		if generation == 0 || generation >= change.Version {
			return nil, fmt.Errorf("%w: job %s has generation %d in version %d", ErrCorrupt, job, generation, change.Version)
		}
	}
	return &spec.Applied{File: c.File, Version: change.Version, Generations: c.Generations}, nil
}

// load fetches the document of a change.
func load(ctx context.Context, source Chunks, change Change) (*Document, error) {
	if change.Removed() {
		return &Document{Change: change}, nil
	}
	data, chunks, err := fetch(ctx, source, change.Content)
	if err != nil {
		return nil, fmt.Errorf("file %s at version %d: %w", change.File, change.Version, err)
	}
	applied, err := decodeContent(data, change)
	if err != nil {
		return nil, err
	}
	return &Document{Change: change, Applied: applied, Chunks: chunks}, nil
}
