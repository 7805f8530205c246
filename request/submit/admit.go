package submit

import (
	"errors"
	"net/http"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// CodeKey is the code of requests without a key in force.
const CodeKey = "unknown_key"

// errKey never tells which key came: it may be another system's.
var errKey = errors.New("submit: the request needs a key in force of a client account; none came, or one that no account has now")

// Admit returns the account of a request for a queue by the key that came with it, ""
// for an open queue without a known key. The error is a *verdict.Error that says that
// the request has not run.
func Admit(c *work.Catalog, q *work.Queue, key string) (string, error) {
	account, found := c.Accounts.Keyed(key)
	switch {
	case found:
		return account.Name, nil
	case q.Open:
		return "", nil
	}
	return "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnauthorized, Code: CodeKey, Err: errKey}
}
