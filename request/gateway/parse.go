package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Limits of header values that callers set.
const (
	maxName    = 128 // bytes of a service, team or caller name
	maxKey     = 255 // bytes of an idempotency key
	maxTimeout = 24 * time.Hour
)

// Codes of the errors found before a request is admitted; all have verdict
// NotRun.
const (
	CodeBadRequest     = "bad_request"
	CodeNoService      = "unknown_service"
	CodeBodyTooLarge   = "body_too_large"
	CodeBodyTimeout    = "body_timeout"
	CodeKeysOff        = "keys_not_served"
	CodeUpgrade        = "upgrade_not_served"
	CodeDraining       = "draining"
	CodeStarting       = "starting" // this daemon has not loaded the configuration yet
	CodeOverloaded     = "overloaded"
	CodePeerNotAllowed = "peer_not_authenticated"
)

// retryAfterMillis is the retry delay for refusals where another daemon may be
// able to serve the request.
const retryAfterMillis = 100

var (
	errNoService = errors.New("no such service")
	errUpgrade   = errors.New("connections are not switched to another protocol")
	errNoPath    = errors.New("requests without a path are not served")
)

func refuse(status int, code string, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Err: err}
	if status == http.StatusServiceUnavailable {
		e.RetryAfterMillis = retryAfterMillis
	}
	return e
}

// refuseTemporarily refuses a request for lack of slots or capacity. Its retry delay is the
// time after which the service can be expected to have some.
func (g *Gateway) refuseTemporarily(c *call, code string, err error) *verdict.Error {
	e := refuse(http.StatusServiceUnavailable, code, err)
	e.RetryAfterMillis = max(e.RetryAfterMillis, g.opts.Admission.RetryAfter(c.service).Milliseconds())
	return e
}

func badRequest(err error) *verdict.Error { return refuse(http.StatusBadRequest, CodeBadRequest, err) }

// ServiceName returns the name of the service that a request is for: the value
// of the header, or the first label of the host when that is empty.
func ServiceName(header, host string) string {
	if header != "" {
		return header
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// wantsWebSocket reports whether the caller requests an upgrade to WebSocket,
// for which a plain answer is of no use. Other upgrades, such as to HTTP/2, are
// offers that a server may ignore.
func wantsWebSocket(h http.Header) bool {
	for _, line := range h["Upgrade"] {
		for protocol := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(protocol), "websocket") {
				return true
			}
		}
	}
	return false
}

// ParseTimeout returns the value of the timeout header, or limit when it is
// empty or above limit.
func ParseTimeout(s string, limit time.Duration) (time.Duration, error) {
	if s == "" {
		return limit, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, fmt.Errorf("%s %.32q: want a duration such as \"1.5s\", above 0 and up to %v", TimeoutHeader, s, maxTimeout)
	}
	return min(d, limit), nil
}

// ParseKey returns the idempotency key, "" when the header is absent. A key must
// be given once and have 1 to 255 visible ASCII characters.
func ParseKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKey || !visible(key) {
		return "", fmt.Errorf("%s: want it once, 1 to %d visible ASCII characters", KeyHeader, maxKey)
	}
	return key, nil
}

func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// ParseIdempotent reports whether a request is idempotent: by the header if it
// is set, otherwise by the method.
func ParseIdempotent(header, method string) (bool, error) {
	if header != "" {
		v, err := strconv.ParseBool(header)
		if err != nil {
			return false, fmt.Errorf("%s %.16q: want true or false", IdempotentHeader, header)
		}
		return v, nil
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true, nil
	default:
		return false, nil
	}
}

// DefaultIdentity takes the team from the organisation and the caller from the
// common name of a verified client certificate. Without one it takes them from
// the headers; if no caller is set there, from the connection's address.
func DefaultIdentity(r *http.Request) Identity {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		subject := r.TLS.VerifiedChains[0][0].Subject
		id := Identity{Caller: subject.CommonName}
		if len(subject.Organization) > 0 {
			id.Team = subject.Organization[0]
		}
		return id
	}
	id := Identity{Team: r.Header.Get(TeamHeader), Caller: r.Header.Get(CallerHeader)}
	if id.Caller == "" {
		id.Caller, _, _ = net.SplitHostPort(r.RemoteAddr)
		id.Unnamed = true
	}
	return id
}

// findService returns the job of the service with that name.
func findService(c *spec.Config, name string) (*spec.VersionedJob, *verdict.Error) {
	job := c.Jobs[name]
	if job == nil || job.Kind != spec.Service || job.Service == nil {
		return nil, refuse(http.StatusNotFound, CodeNoService, fmt.Errorf("%w: %.64q", errNoService, name))
	}
	return job, nil
}
