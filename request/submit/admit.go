package submit

import (
	"errors"
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// Codes of requests that are refused for their key.
const (
	// CodeKey: the request has no key in force.
	CodeKey = "unknown_key"
	// CodeUnconfirmed: nobody could tell here whether its key is in force.
	CodeUnconfirmed = "keys_unconfirmed"
)

// The errors never tell which key came: it may be another system's.
var (
	errKey         = errors.New("submit: the request needs a key in force of a client account; none came, or one that no account has now")
	errUnconfirmed = errors.New("submit: this daemon can not tell whether the key is in force, since its version of the configuration is old; ask again, another daemon may know")
)

// unconfirmedAgain is when to ask again: longer than it takes to learn the
// configuration from another daemon.
const unconfirmedAgain = time.Second

// Standing tells how far a daemon's version of the configuration may be relied on. The
// zero value is that of a daemon in touch.
type Standing struct {
	// Age is how long ago the version was last known to be the newest.
	Age time.Duration
	// Doubtful: the version has not been confirmed for longer than usual, so a key or a
	// queue that is not known may have been added since.
	Doubtful bool
	// Expired: it has not been confirmed for longer than a key that was taken away may
	// work, and the deployment wants no key to work then.
	Expired bool
}

// Admit returns the account of a request for a queue by the key that came with it, ""
// for an open queue without a known key. The error is a *verdict.Error that says that
// the request has not run.
func Admit(c *work.Catalog, q *work.Queue, key string, s Standing) (string, error) {
	account, found := c.Accounts.Keyed(key)
	switch {
	case q.Open && !found:
		return "", nil
	case q.Open:
		return account.Name, nil
	case s.Expired, !found && key != "" && s.Doubtful:
		return "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: CodeUnconfirmed, RetryAfterMillis: unconfirmedAgain.Milliseconds(), Err: errUnconfirmed}
	case !found:
		return "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnauthorized, Code: CodeKey, Err: errKey}
	}
	return account.Name, nil
}
