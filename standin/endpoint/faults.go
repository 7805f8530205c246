package endpoint

import (
	"net"
	"net/http"
	"time"
)

// Faults tells how an endpoint misbehaves. Shares are probabilities from 0 to
// 1, drawn once per request in the order of the fields.
type Faults struct {
	// Delay is added to the work of each request.
	Delay time.Duration `json:"delay,omitempty"`
	// Refuse answers 503 with RefusedHeader before any work.
	Refuse float64 `json:"refuse,omitempty"`
	// Reset cuts the connection after the work, before any answer.
	Reset float64 `json:"reset,omitempty"`
	// ResetMidAnswer cuts the connection by RST in the middle of the body.
	ResetMidAnswer float64 `json:"reset_mid_answer,omitempty"`
	// Truncate ends the connection in good order in the middle of the body.
	Truncate float64 `json:"truncate,omitempty"`
	// Hang never answers until the faults change or the connection ends.
	Hang float64 `json:"hang,omitempty"`
	// Error answers 500 after the work.
	Error float64 `json:"error,omitempty"`
	// CloseIdle closes a kept-alive connection without notice, right after an
	// answer.
	CloseIdle float64 `json:"close_idle,omitempty"`
	// Unsolicited sends a second answer that nobody asked for, right after an
	// answer.
	Unsolicited float64 `json:"unsolicited,omitempty"`
	// Leaving announces with LeavingHeader on every answer that the endpoint
	// takes no new requests soon.
	Leaving bool `json:"leaving,omitempty"`
}

// LeavingHeader announces that an endpoint is leaving.
const LeavingHeader = "Fennel-Leaving"

type connKey struct{}

type fault int

const (
	faultNone fault = iota
	faultRefuse
	faultReset
	faultResetMid
	faultTruncate
	faultHang
	faultError
)

// UnsolicitedAnswer is the body of an answer that nobody asked for.
const UnsolicitedAnswer = "UNSOLICITED"

const unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + UnsolicitedAnswer

// SetFaults replaces the faults; requests that hang go on.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// draw picks the fault of one request and the added delay, and tells whether
// the endpoint is leaving.
func (e *Endpoint) draw() (kind fault, delay time.Duration, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	shares := []float64{f.Refuse, f.Reset, f.ResetMidAnswer, f.Truncate, f.Hang, f.Error}
	for i, share := range shares {
		if share > 0 && e.rng.Float64() < share {
			return fault(i + 1), f.Delay, f.Leaving
		}
	}
	return faultNone, f.Delay, f.Leaving
}

// idleFaultLocked applies the faults of a connection that has become idle.
func (e *Endpoint) idleFaultLocked(c net.Conn) {
	if e.faults.CloseIdle > 0 && e.rng.Float64() < e.faults.CloseIdle {
		_ = c.Close()
		return
	}
	if e.faults.Unsolicited > 0 && e.rng.Float64() < e.faults.Unsolicited {
		_, _ = c.Write([]byte(unsolicited))
	}
}

// reset cuts the request's connection by RST.
func reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}
