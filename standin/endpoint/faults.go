package endpoint

import (
	"net"
	"net/http"
	"time"
)

// Faults are the injected faults of an endpoint. Shares are probabilities from 0 to 1.
// Each request gets at most one of the faults Refuse to Error, drawn in this order.
// CloseIdle and Unsolicited are drawn when a connection becomes idle.
type Faults struct {
	// Delay is added to the work of each request.
	Delay time.Duration `json:"delay,omitempty"`
	// Refuse responds 503 with RefusedHeader before any work.
	Refuse float64 `json:"refuse,omitempty"`
	// Reset resets the connection (RST) after the work, before any response.
	Reset float64 `json:"reset,omitempty"`
	// ResetMidAnswer resets the connection (RST) in the middle of the body.
	ResetMidAnswer float64 `json:"reset_mid_answer,omitempty"`
	// Truncate closes the connection (FIN) in the middle of the body.
	Truncate float64 `json:"truncate,omitempty"`
	// Hang gives no response until the connection or the endpoint is closed.
	Hang float64 `json:"hang,omitempty"`
	// Error responds 500 after the work.
	Error float64 `json:"error,omitempty"`
	// CloseIdle closes a keep-alive connection without notice, right after a
	// response.
	CloseIdle float64 `json:"close_idle,omitempty"`
	// Unsolicited sends a second, unsolicited response right after a response.
	Unsolicited float64 `json:"unsolicited,omitempty"`
	// Leaving sends LeavingHeader with every response: the endpoint will soon accept
	// no new requests.
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

// UnsolicitedAnswer is the body of an unsolicited response.
const UnsolicitedAnswer = "UNSOLICITED"

const unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + UnsolicitedAnswer

// SetFaults replaces the injected faults. Requests that hang keep hanging.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// draw draws the fault of one request, and returns it with the added delay and whether
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

// idleFaultLocked applies the faults of connections that become idle. The caller holds mu.
func (e *Endpoint) idleFaultLocked(c net.Conn) {
	if e.faults.CloseIdle > 0 && e.rng.Float64() < e.faults.CloseIdle {
		_ = c.Close()
		return
	}
	if e.faults.Unsolicited > 0 && e.rng.Float64() < e.faults.Unsolicited {
		_, _ = c.Write([]byte(unsolicited))
	}
}

// reset resets the request's connection (RST).
func reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}
