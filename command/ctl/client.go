package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/process/admin/api"
)

// maxBody bounds a response, in bytes.
const maxBody = 64 << 20

// Client calls the administration API of a daemon.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// ErrNoAnswer means that no complete response arrived. A change may have been applied.
var ErrNoAnswer = errors.New("no response from the daemon")

// NewClient returns a client of the daemon at address, which is host:port (for
// HTTPS) or a URL. caFile, if set, is a PEM file with the CA certificates to trust.
func NewClient(address, token, caFile string, timeout time.Duration) (*Client, error) {
	if !strings.Contains(address, "://") {
		address = "https://" + address
	}
	base, err := url.Parse(address)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("address %q: want host:port or a URL", address)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		if transport.TLSClientConfig, err = trust(caFile); err != nil {
			return nil, err
		}
	}
	// A redirect could send the token to another host.
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: base, token: token, http: &http.Client{Transport: transport, Timeout: timeout, CheckRedirect: refuse}}, nil
}

func trust(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA certificates: no certificate in %s", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// Get sends a GET request and decodes the JSON response into result, or stores the raw
// body if result is a *[]byte. The error is an *api.Error if the daemon sent one, and
// matches ErrNoAnswer if no complete response arrived.
func (c *Client) Get(ctx context.Context, path string, query url.Values, result any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, result)
}

// Post sends a POST request with a body; response and errors are as for Get.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte, result any) error {
	return c.call(ctx, http.MethodPost, path, query, body, result)
}

// call sends a request and decodes the response into result, or stores the raw
// body if result is a *[]byte.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	data, err := c.do(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	if raw, ok := result.(*[]byte); ok {
		*raw = data
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("cannot decode the daemon's response: %w", err)
	}
	return nil
}

// do sends a request. The error is an *api.Error if the daemon sent one.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	// NopCloser hides the reader's type, so that net/http sets no GetBody and its
	// transport cannot resend the request on its own.
	request, err := http.NewRequestWithContext(ctx, method, target.String(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, decodeError(response.Status, data)
	}
	return data, nil
}

func decodeError(status string, data []byte) error {
	e := new(api.Error)
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return fmt.Errorf("unexpected response %s: not an error of the administration API", status)
	}
	return e
}
