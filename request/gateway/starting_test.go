package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/version/spec"
)

// laterSource is a configuration source that is empty at first.
type laterSource struct{ config *spec.Config }

func (s *laterSource) Current() *spec.Config { return s.config }

func (*laterSource) Changed() <-chan struct{} { return nil }

// TestServicesAreNotUnknownBeforeTheConfigurationIs guards against a daemon that has just
// started and answers 404 for a service that exists, which callers do not retry.
func TestServicesAreNotUnknownBeforeTheConfigurationIs(t *testing.T) {
	p := newPool()
	startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	known := make(chan struct{})
	config := &laterSource{config: &spec.Config{}}
	_, url := startGateway(t, Options{Slots: p, Config: config, Ready: known})
	status := func() int {
		ready, err := http.Get(url + ReadyPath)
		require.NoError(t, err)
		require.NoError(t, ready.Body.Close())
		return ready.StatusCode
	}
	early := do(t, "POST", url, "k", "plot")
	require.Equal(t, http.StatusServiceUnavailable, early.status)
	require.Equal(t, "not-run", early.verdict())
	require.Equal(t, CodeStarting, early.header.Get("Fennel-Code"))
	require.NotEmpty(t, early.header.Get("Retry-After"))
	require.Equal(t, http.StatusServiceUnavailable, status())
	config.config = testConfig(0).Current()
	close(known)
	require.Equal(t, http.StatusOK, status())
	require.Equal(t, http.StatusOK, do(t, "POST", url, "k", "plot").status)
}
