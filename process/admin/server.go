package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Limits of the server.
const (
	maxCalls          = 64               // concurrent calls
	callsPerSecond    = 20               // per principal
	callBurst         = 40               // per principal
	maxHeaderBytes    = 16 << 10         // bytes
	readHeaderTimeout = 5 * time.Second  // against slow callers
	readTimeout       = 30 * time.Second // of a whole request
	writeTimeout      = 60 * time.Second // longer than an apply waits
	idleTimeout       = 2 * time.Minute
)

// Authenticator returns the holder of a bearer token; *Tokens implements it.
type Authenticator interface {
	Authenticate(token string) (Principal, bool)
}

// Options configure a Server. Explainer, Status and Reporter may be nil; their
// calls are then answered with api.CodeUnsupported.
type Options struct {
	Authenticator Authenticator
	Applier       Applier
	Explainer     Explainer
	Status        StatusSource
	Reporter      Reporter
	// Log receives the audit lines.
	Log zerolog.Logger
}

// Server is the administration API; it implements http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux
	calls   chan struct{}

	mu       sync.Mutex
	limiters map[string]*rate.Limiter // by principal, so bounded by the number of tokens
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{
		options:  o,
		mux:      http.NewServeMux(),
		calls:    make(chan struct{}, maxCalls),
		limiters: make(map[string]*rate.Limiter),
	}
	s.handle(http.MethodPost, api.PathValidate, s.validate)
	s.handle(http.MethodPost, api.PathDiff, s.diff)
	s.handle(http.MethodPost, api.PathApply, s.apply)
	s.handle(http.MethodGet, api.PathFiles, s.files)
	s.handle(http.MethodGet, api.PathFiles+"/{file}", s.file)
	s.handle(http.MethodGet, api.PathHistory, s.history)
	s.handle(http.MethodGet, api.PathStatus, s.status)
	s.handle(http.MethodGet, api.PathExplain, s.explain)
	s.handle(http.MethodGet, api.PathReport, s.report)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &api.Error{Code: api.CodeNotFound, Message: "no such path; see docs/ADMIN.md"})
	})
	return s
}

// HTTPServer returns a server with the limits that protect the API against slow
// callers and oversized headers. The caller of HTTPServer adds TLS and listens.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.calls <- struct{}{}:
		defer func() { <-s.calls }()
		s.mux.ServeHTTP(w, r)
	default:
		writeError(w, &api.Error{Code: api.CodeBusy, Message: "too many calls under way; try again later"})
	}
}

// call is one call in progress.
type call struct {
	http      *http.Request
	principal Principal
	id        string
	log       zerolog.Logger
}

func (c *call) ctx() context.Context { return c.http.Context() }

// handler handles a call and returns the response or an error.
type handler func(c *call) (any, error)

// handle registers a path for one method.
func (s *Server) handle(method, path string, h handler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeError(w, &api.Error{Code: api.CodeMethod, Message: "use " + method})
			return
		}
		s.serve(w, r, h)
	})
}

// serve authenticates a call, applies the rate limit and handles it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, h handler) {
	c := &call{http: r, id: uuid.NewString()}
	c.log = s.options.Log.With().Str("log", "audit").Str("request", c.id).Str("path", r.URL.Path).Str("remote", r.RemoteAddr).Logger()
	var ok bool
	if c.principal, ok = s.authenticate(r); !ok {
		c.log.Warn().Msg("administration call refused: unknown token")
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, &api.Error{Code: api.CodeUnauthenticated, RequestID: c.id,
			Message: "the request has no known token; fix: send Authorization: Bearer TOKEN"})
		return
	}
	c.log = c.log.With().Str("principal", c.principal.Name).Str("role", string(c.principal.Role)).Str("team", c.principal.Team).Logger()
	if !s.limiter(c.principal.Name).Allow() {
		writeError(w, &api.Error{Code: api.CodeBusy, RequestID: c.id, Message: "too many calls with this token; try again later"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, spec.MaxFileSize)
	answer, err := h(c)
	if err != nil {
		e := errorOf(err)
		e.RequestID = c.id
		c.log.Warn().Str("code", string(e.Code)).Err(err).Msg("administration call refused")
		writeError(w, e)
		return
	}
	writeAnswer(w, answer)
}

// authenticate returns the caller by the bearer token of the request.
func (s *Server) authenticate(r *http.Request) (Principal, bool) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return Principal{}, false
	}
	return s.options.Authenticator.Authenticate(strings.TrimSpace(token))
}

func (s *Server) limiter(principal string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiters[principal]
	if l == nil {
		l = rate.NewLimiter(callsPerSecond, callBurst)
		s.limiters[principal] = l
	}
	return l
}

// writeAnswer writes a successful response.
func writeAnswer(w http.ResponseWriter, answer any) {
	if report, ok := answer.(Report); ok {
		w.Header().Set("Content-Type", report.ContentType)
		_, _ = w.Write(report.Body) // fails only if the caller has disconnected
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, e *api.Error) { writeJSON(w, statusOf(e.Code), e) }

// writeJSON encodes v before it writes the status, so that an encoding error becomes an
// error response instead of a truncated one.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"internal","message":"answer can not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // fails only if the caller has disconnected
}
