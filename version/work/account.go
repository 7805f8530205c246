package work

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// KeyDigest is the digest of a key of a client account. Keys themselves are not kept, so
// that a log, a dump or a message between daemons contains nothing that authenticates.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. A plain hash is sufficient for random keys, which
// cannot be guessed from it.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account: its callers submit jobs with one of its keys.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Weight is the account's relative share under full load, and the number of jobs per
	// second that it is entitled to submit.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Cap bounds the resources of the account's running tasks over all workers; 0 in a
	// dimension means no bound.
	Cap  Resources   `cbor:"3,keyasint,omitempty"`
	Keys []KeyDigest `cbor:"4,keyasint,omitempty"`
}

// Accounts holds the client accounts of one version of the configuration. It is immutable
// once published.
type Accounts struct {
	list  []Account
	byKey map[KeyDigest]int
}

// NewAccounts indexes accounts. The result can also be used if there is an error, which
// reports the accounts that are not used as listed, without containing a key. An account
// without a name or with a negative weight or cap is left out. The keys of a second account
// of the same name count for the first; a key in two accounts belongs to the first.
func NewAccounts(list []Account) (*Accounts, error) {
	a := &Accounts{byKey: map[KeyDigest]int{}}
	named := make(map[string]int, len(list))
	var problems []error
	for _, account := range list {
		at, again := named[account.Name]
		switch {
		case account.Name == "":
			problems = append(problems, errors.New("accounts: an account without a name is left out; give it a name"))
			continue
		case account.Weight < 0, account.Cap.CPU < 0, account.Cap.Memory < 0, account.Cap.GPU < 0:
			problems = append(problems, fmt.Errorf("accounts: %q is left out: its weight or cap is negative; use 0 for no bound", account.Name))
			continue
		case again:
			problems = append(problems, fmt.Errorf("accounts: %q is listed twice; the first one's weight and cap hold", account.Name))
			a.list[at].Keys = append(a.list[at].Keys, account.Keys...)
		default:
			at = len(a.list)
			named[account.Name] = at
			a.list = append(a.list, account)
		}
		for _, key := range account.Keys {
			if other, taken := a.byKey[key]; taken && other != at {
				problems = append(problems, fmt.Errorf("accounts: %q has a key of %q, which keeps it; give each account keys of its own", account.Name, a.list[other].Name))
				continue
			}
			a.byKey[key] = at
		}
	}
	return a, errors.Join(problems...)
}

// ByKey returns the account to which a key belongs. The key is looked up by its digest,
// so that the duration reveals nothing about existing keys.
func (a *Accounts) ByKey(key string) (*Account, bool) {
	if a == nil || key == "" {
		return nil, false
	}
	at, found := a.byKey[DigestKey(key)]
	if !found {
		return nil, false
	}
	return &a.list[at], true
}

// MayAccess reports whether callers of account may query and cancel a job whose submitting
// account is owner. Callers of another account may not; a job that was submitted without
// an account is open to all.
func MayAccess(owner, account string) bool { return owner == "" || owner == account }

// All lists the accounts in the order of the configuration; nil for none.
func (a *Accounts) All() []Account {
	if a == nil {
		return nil
	}
	return a.list
}
