package quota

import (
	"cmp"
	"slices"
)

// Row is the state of an account as shown to operators.
type Row struct {
	Account     string  `json:"account"`
	Weight      float64 `json:"weight"`
	Cap         Size    `json:"cap"`    // configured cap; a dimension of 0 is unlimited
	Limit       Size    `json:"limit"`  // the share of the cap that this shard of the cell may use
	Held        Size    `json:"held"`   // work that is known to run
	Unconfirmed Size    `json:"unseen"` // work that an earlier leader may have started in addition
	// Waiting is work that only the limit keeps from starting.
	Waiting Size `json:"waits"`
	// OverEntitlement counts submissions in excess of the account's entitlement.
	OverEntitlement uint64 `json:"beyond"`
}

// MetricAccounts is the name of the metric that lists a daemon's rows.
const MetricAccounts = "accounts"

// MaxRows limits the number of accounts shown. It is more than any cell has, and protects
// readers from an erroneous configuration with a huge number of accounts.
const MaxRows = 2000

// Rows returns the accounts that have a name, sorted by name. If there are more than
// MaxRows, it returns those that hold the most CPU.
func (l *Ledger) Rows() []Row {
	rows := make([]Row, 0, len(l.accounts))
	for _, a := range l.accounts {
		if a.Name != "" {
			rows = append(rows, Row{Account: a.Name, Weight: a.weight, Cap: a.cap, Limit: a.limit(), Held: a.held, Unconfirmed: a.unconfirmed, Waiting: a.waiting})
		}
	}
	if len(rows) > MaxRows {
		slices.SortFunc(rows, func(x, y Row) int { return cmp.Compare(y.Held.MilliCPU, x.Held.MilliCPU) })
		rows = rows[:MaxRows]
	}
	slices.SortFunc(rows, func(x, y Row) int { return cmp.Compare(x.Account, y.Account) })
	return rows
}

func (a *Account) limit() Size {
	return Size{limitOf(a.cap.MilliCPU, a.share), limitOf(a.cap.MemoryMB, a.share), limitOf(a.cap.Accelerators, a.share)}
}

// Sum adds the row of the same account in another shard. Weight and Cap are those of r.
func (r Row) Sum(other Row) Row {
	r.Limit, r.Held, r.Unconfirmed = r.Limit.Add(other.Limit), r.Held.Add(other.Held), r.Unconfirmed.Add(other.Unconfirmed)
	r.Waiting, r.OverEntitlement = r.Waiting.Add(other.Waiting), r.OverEntitlement+other.OverEntitlement
	return r
}
