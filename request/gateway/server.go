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

// Paths of the health checks for the load balancer.
const (
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// NewServer returns a server for callers or for other daemons. It limits the
// header in size and time, so that a slow caller occupies no more than a
// connection. It sets no timeout for writing the answer, which is bounded by the
// request's deadline and the body's timeouts.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Otherwise net/http answers "OPTIONS *" itself, without a verdict.
		DisableGeneralOptionsHandler: true,
	}
}

// CallerHandler serves callers and, on any host, the load balancer's health checks.
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

// ServeReady answers the readiness check: 200 while this daemon accepts requests
// from the load balancer, otherwise 503.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if g.state.Load() != serving || !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
