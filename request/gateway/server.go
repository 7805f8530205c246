package gateway

import (
	"net/http"
	"time"
)

// Limits of a caller's connection.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 32 << 10
)

// Paths of the checks for the platform's balancer.
const (
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// NewServer returns a server for callers or for other daemons. It bounds the
// header in size and time, so that a slow caller holds no more than a
// connection. The answer has no time limit of its own: the request's deadline
// and the body's timeouts bound it.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// net/http would answer "OPTIONS *" by itself, without a verdict.
		DisableGeneralOptionsHandler: true,
	}
}

// CallerHandler serves callers and, on any host, the balancer's checks.
func (g *Gateway) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(ServiceHeader) == "" {
			switch r.URL.Path {
			case HealthPath:
				w.WriteHeader(http.StatusOK)
				return
			case ReadyPath:
				g.ServeReady(w, r)
				return
			}
		}
		g.ServeHTTP(w, r)
	})
}

// ServeReady answers 200 while this daemon wants requests from the balancer.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if g.state.Load() != serving || !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
