package submit

import (
	"errors"
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// Error codes of requests that are refused because of their key.
const (
	// CodeKey means that the request has no key that is in force.
	CodeKey = "unknown_key"
	// CodeUnconfirmed means that this daemon cannot tell whether the key is in force.
	CodeUnconfirmed = "keys_unconfirmed"
)

// The error texts never contain the key: it may be a credential of another system.
var (
	errKey         = errors.New("submit: the request needs a key in force of a client account; none came, or one that no account has now")
	errUnconfirmed = errors.New("submit: this daemon can not tell whether the key is in force, since its version of the configuration is old; ask again, another daemon may know")
)

// unconfirmedRetryAfter is the delay returned to the caller: longer than it takes to fetch the
// configuration from another daemon.
const unconfirmedRetryAfter = time.Second

// ConfigStatus is how current a daemon's version of the configuration is. The zero value means that
// it is up to date.
type ConfigStatus struct {
	// Age is the time since the version was last confirmed to be the newest.
	Age time.Duration
	// Unconfirmed is set when the version has not been confirmed for longer than usual, so that
	// an unknown key or queue may have been added since.
	Unconfirmed bool
	// Expired is set when the version has not been confirmed for longer than a revoked key may
	// remain usable, and the deployment is configured to accept no key in that case.
	Expired bool
}

// Authenticate returns the account of a request for a queue by the key sent with it; "" for an open
// queue without a known key. The error is a *verdict.Error with verdict NotRun.
func Authenticate(c *work.Catalog, q *work.Queue, key string, s ConfigStatus) (string, error) {
	account, found := c.Accounts.ByKey(key)
	switch {
	case q.Open && !found:
		return "", nil
	case q.Open:
		return account.Name, nil
	case s.Expired, !found && key != "" && s.Unconfirmed:
		return "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: CodeUnconfirmed, RetryAfterMillis: unconfirmedRetryAfter.Milliseconds(), Err: errUnconfirmed}
	case !found:
		return "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnauthorized, Code: CodeKey, Err: errKey}
	}
	return account.Name, nil
}
