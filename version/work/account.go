package work

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// KeyDigest stands for a key of a client account. Keys themselves are kept nowhere: a
// digest in a log, a dump or a message between daemons opens nothing.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. A plain hash is enough for keys drawn at
// random, which can not be guessed from it.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account: its callers hand jobs in with one of its keys.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Weight is the account's share when all is full, and how many jobs a second it
	// is entitled to hand in.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Cap is what the account may have running over all workers; 0 in a dimension
	// bounds nothing there.
	Cap  Resources   `cbor:"3,keyasint,omitempty"`
	Keys []KeyDigest `cbor:"4,keyasint,omitempty"`
}

// Accounts are the client accounts of one version of the configuration. They are not
// changed once in use.
type Accounts struct {
	list  []Account
	keyed map[KeyDigest]int
}

// NewAccounts indexes accounts. What is ambiguous is decided for the account that is
// listed first, and told in the error, which never holds a key: a second account of a
// name lends its keys to the first; a key in two accounts opens the first.
func NewAccounts(list []Account) (*Accounts, error) {
	a := &Accounts{keyed: map[KeyDigest]int{}}
	named := make(map[string]int, len(list))
	var problems []error
	for _, account := range list {
		at, again := named[account.Name]
		switch {
		case account.Name == "":
			problems = append(problems, errors.New("accounts: one without a name is left out; name it"))
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
			if other, taken := a.keyed[key]; taken && other != at {
				problems = append(problems, fmt.Errorf("accounts: %q has a key of %q, which keeps it; give each account keys of its own", account.Name, a.list[other].Name))
				continue
			}
			a.keyed[key] = at
		}
	}
	return a, errors.Join(problems...)
}

// Keyed returns the account that a key belongs to. The key is looked up by its digest,
// so the time that takes tells nothing of the keys there are.
func (a *Accounts) Keyed(key string) (*Account, bool) {
	if a == nil || key == "" {
		return nil, false
	}
	at, found := a.keyed[DigestKey(key)]
	if !found {
		return nil, false
	}
	return &a.list[at], true
}

// Owns reports whether callers of an account may ask for a job of the account owner and
// cancel it: those of another one may not. Anybody may, if no account handed it in.
func Owns(owner, account string) bool { return owner == "" || owner == account }

// All lists the accounts in the order of the configuration; nil for none.
func (a *Accounts) All() []Account {
	if a == nil {
		return nil
	}
	return a.list
}
