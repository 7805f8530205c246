// Package accounts shows how the client accounts of a cell stand, from the counters of
// its daemons.
package accounts

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/command/metricsget"
	"fennelshunt.example/fennelshunt/process/quota"
)

// timeout bounds the answer of one daemon, which makes it from memory.
const timeout = 2 * time.Second

var errNoLeader = errors.New("accounts: no daemon that answered leads; fix: name the metrics addresses of all daemons, or ask again after a takeover")

// Command returns the command 'accounts ADDRESS...'.
func Command(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "accounts",
		ShortUsage: "fennelctl accounts ADDRESS...",
		ShortHelp:  "show what client accounts use of their caps; addresses are the daemons' metrics ports, such as 10.0.0.7:7003",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return errors.New("accounts: name the metrics address of one daemon or more")
			}
			return Show(ctx, out, errOut, args)
		},
	}
}

// Show prints the accounts, added up over the daemons at the addresses. Only leaders know
// them. A daemon that does not answer is told on errOut, and its part is missing.
func Show(ctx context.Context, out, errOut io.Writer, addresses []string) error {
	sums := map[string]quota.Row{}
	for _, address := range addresses {
		rows, err := read(ctx, address)
		if err != nil {
			fmt.Fprintf(errOut, "accounts: %s does not answer, what it leads is missing: %v\n", address, err)
			continue
		}
		for _, row := range rows {
			if sum, known := sums[row.Account]; known {
				row = sum.Sum(row)
			}
			sums[row.Account] = row
		}
	}
	if len(sums) == 0 {
		return errNoLeader
	}
	all := make([]quota.Row, 0, len(sums))
	for _, row := range sums {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b quota.Row) int { return cmp.Compare(a.Account, b.Account) })
	return write(out, all)
}

func read(ctx context.Context, address string) (rows []quota.Row, err error) {
	var counters map[string]json.RawMessage
	if err := metricsget.JSON(ctx, address, "", timeout, &counters); err != nil {
		return nil, err
	}
	if data, listed := counters[quota.MetricAccounts]; listed {
		err = json.Unmarshal(data, &rows)
	}
	return rows, err
}

// write prints a table; processors in cores, memory in MB.
func write(out io.Writer, rows []quota.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tWEIGHT\tCORES\tOF\tMEMORY\tOF\tUNSEEN CORES\tWAITS FOR CORES\tBEYOND")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%g\t%.1f\t%s\t%d\t%s\t%.1f\t%.1f\t%d\n", r.Account, r.Weight, cores(r.Held.MilliCPU), bound(r.Cap.MilliCPU, cores(r.Cap.MilliCPU)),
			r.Held.MemoryMB, bound(r.Cap.MemoryMB, float64(r.Cap.MemoryMB)), cores(r.Unseen.MilliCPU), cores(r.Waits.MilliCPU), r.Beyond)
	}
	return w.Flush()
}

func cores(milli int64) float64 { return float64(milli) / 1000 }

// bound shows a cap, of which 0 bounds nothing.
func bound(limit int64, shown float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", shown)
}
