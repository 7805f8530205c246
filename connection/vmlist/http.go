package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Path is the path of the list in the platform's HTTP API.
const Path = "/vms"

// maxList bounds the list's size, in bytes; 25,000 VMs take about 5 MB.
const maxList = 32 << 20

// HTTP reads the list over HTTP+JSON.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Lister for the platform's base URL.
func NewHTTP(base string, client *http.Client) *HTTP { return &HTTP{base: base, client: client} }

// List implements Lister.
func (h *HTTP) List(ctx context.Context) ([]VM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	res, err := h.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vmlist: status %s", res.Status)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(res.Body, maxList)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("vmlist: decode: %w", err)
	}
	return vms, nil
}
