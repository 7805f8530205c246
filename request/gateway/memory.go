package gateway

import (
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

// firstBuffer is what a body's buffer begins with, in bytes. It grows as the
// body arrives, so that a caller that announces a body and sends nothing holds
// no more.
const firstBuffer = 4 << 10

var errBodyMemory = errors.New("this daemon holds too many bodies of requests with keys in memory")

// bodyMemory bounds the bodies of keyed requests that are in memory together,
// and one caller's part of them to a half.
//
// What goes wrong without it: these bodies are read before admission, and the
// requests in progress can have gigabytes of them.
type bodyMemory struct {
	total     *semaphore.Weighted
	callerMax int64

	mu      sync.Mutex
	callers map[share]int64
}

func (m *bodyMemory) init(limit int64) {
	m.total = semaphore.NewWeighted(limit)
	m.callerMax = limit / callerShareOf
	m.callers = map[share]int64{}
}

// reservation is one request's part of the memory.
type reservation struct {
	memory *bodyMemory
	holder share
	size   int64
}

// grow adds n bytes.
func (r *reservation) grow(n int) error {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[r.holder]+int64(n) > m.callerMax || !m.total.TryAcquire(int64(n)) {
		return errBodyMemory
	}
	m.callers[r.holder] += int64(n)
	r.size += int64(n)
	return nil
}

// free gives all bytes back.
func (r *reservation) free() {
	if r.size == 0 {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.Release(r.size)
	if m.callers[r.holder] -= r.size; m.callers[r.holder] == 0 {
		delete(m.callers, r.holder)
	}
	r.size = 0
}

// readAll reads src to its end into memory that it takes from r. size is the
// length of src, -1 when that is not known; more than limit bytes are
// errBodyTooLarge.
func readAll(src io.Reader, size, limit int64, r *reservation) ([]byte, error) {
	if size > limit {
		return nil, errBodyTooLarge
	}
	most := size // known: the last read also tells the end
	if size < 0 {
		most = limit + 1
	}
	var data []byte
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			more := min(max(firstBuffer, cap(data)), int(most)-cap(data))
			if err := r.grow(more); err != nil {
				return data, err
			}
			data = append(make([]byte, 0, cap(data)+more), data...)
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF && size >= 0 && int64(len(data)) < size:
			return data, io.ErrUnexpectedEOF
		case err == io.EOF:
			return data, tooLarge(data, limit)
		case err != nil:
			return data, err
		}
	}
	return data, tooLarge(data, limit)
}

func tooLarge(data []byte, limit int64) error {
	if int64(len(data)) > limit {
		return errBodyTooLarge
	}
	return nil
}
