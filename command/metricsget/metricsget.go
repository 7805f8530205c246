// Package metricsget reads JSON documents from the metrics addresses of daemons.
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

// maxBody bounds a response, in bytes. The longest response, the counters of a daemon
// that lists the maximum number of accounts, is shorter.
const maxBody = 8 << 20

// StatusError is a response with a status other than 200.
type StatusError struct {
	Code int
	Text string // start of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %q", e.Code, http.StatusText(e.Code), e.Text)
}

// maxText bounds the body kept in a StatusError, in bytes.
const maxText = 200

// JSON sends a GET request for path to the daemon at address, which is host:port or a
// URL, and decodes the response into the value that into points to. path begins with a
// slash, or is "" for the counters. The error is a *StatusError if the status is not 200.
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
	defer func() { _ = resp.Body.Close() }() // the body has been read by then
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		text := strings.TrimSpace(string(body))
		return &StatusError{resp.StatusCode, text[:min(len(text), maxText)]}
	}
	return json.Unmarshal(body, into)
}
