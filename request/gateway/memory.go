package gateway

import (
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

// firstBuffer is the initial size of a body's buffer, in bytes. The buffer
// grows as the body arrives, so that a caller that announces a body and sends
// nothing reserves no more than this.
const firstBuffer = 4 << 10

var errBodyMemory = errors.New("this daemon holds too many bodies of requests with keys in memory")

// bodyMemory bounds the total size of the keyed requests' bodies in memory, and
// the share of one caller to half of that bound. These bodies are read before
// admission, and without a bound the requests in progress could hold gigabytes
// of them.
type bodyMemory struct {
	total     *semaphore.Weighted
	callerMax int64

	mu      sync.Mutex
	callers map[callerKey]int64
}

func (m *bodyMemory) init(limit int64) {
	m.total = semaphore.NewWeighted(limit)
	m.callerMax = limit / callerShareDivisor
	m.callers = map[callerKey]int64{}
}

// reservation is the memory that is reserved for the body of one request.
type reservation struct {
	memory *bodyMemory
	holder callerKey
	size   int64
}

// grow reserves n more bytes. It fails when the total or the caller's half is used up.
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

// free releases all bytes of the reservation.
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

// readAll reads src to its end into memory that it reserves with r. size is the
// length of src, or -1 when that is not known. It returns errBodyTooLarge when
// there are more than limit bytes.
func readAll(src io.Reader, size, limit int64, r *reservation) ([]byte, error) {
	if size > limit {
		return nil, errBodyTooLarge
	}
	most := size // known length: the end needs no further read
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
