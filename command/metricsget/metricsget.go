// Package metricsget asks daemons at their metrics addresses, for the commands that show
// what a daemon tells there.
package metricsget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxAnswer is more than the longest answer: the counters of a daemon with as many
// accounts as are shown.
const maxAnswer = 8 << 20

// StatusError is an answer other than 200.
type StatusError struct {
	Code int
	Text string // its body, shortened
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %q", e.Code, http.StatusText(e.Code), e.Text)
}

// maxText bounds what is kept of the body of a StatusError.
const maxText = 200

// JSON decodes a daemon's answer within a time. path begins with a slash, or is "" for the
// counters; the error may be a *StatusError.
func JSON(ctx context.Context, address, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // read whole, or reported below
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		text := strings.TrimSpace(string(body))
		return &StatusError{resp.StatusCode, text[:min(len(text), maxText)]}
	}
	return json.Unmarshal(body, into)
}
