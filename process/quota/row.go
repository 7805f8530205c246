package quota

import (
	"cmp"
	"slices"
)

// Row is an account as people are shown it.
type Row struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Cap     Size    `json:"cap"`    // of the configuration; 0 in a dimension bounds nothing there
	Limit   Size    `json:"limit"`  // the share of the cap that this part of the cell may use
	Held    Size    `json:"held"`   // what is known to run
	Unseen  Size    `json:"unseen"` // what an earlier leader may have started besides
	// Waits is what waits for nothing but the limit.
	Waits Size `json:"waits"`
	// Beyond counts hand-ins beyond what the account is entitled to.
	Beyond uint64 `json:"beyond"`
}

// MetricAccounts is the name of the metric that lists a daemon's rows.
const MetricAccounts = "accounts"

// MaxRows bounds the accounts shown: more than a cell has, so that a configuration gone
// wrong does not fill whoever reads them.
const MaxRows = 2000

// Rows returns the accounts that have a name, by name; of more than MaxRows those that
// hold the most processors.
func (l *Ledger) Rows() []Row {
	rows := make([]Row, 0, len(l.accounts))
	for _, a := range l.accounts {
		if a.Name != "" {
			rows = append(rows, Row{Account: a.Name, Weight: a.weight, Cap: a.cap, Limit: a.limit(), Held: a.held, Unseen: a.unseen, Waits: a.wanted})
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

// Sum adds up the rows of an account from several parts of a cell.
func (r Row) Sum(other Row) Row {
	r.Limit, r.Held, r.Unseen = r.Limit.Add(other.Limit), r.Held.Add(other.Held), r.Unseen.Add(other.Unseen)
	r.Waits, r.Beyond = r.Waits.Add(other.Waits), r.Beyond+other.Beyond
	return r
}
