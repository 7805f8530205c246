// Package accounts shows the usage and caps of the client accounts of a cell, from the
// counters of its daemons.
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

// timeout bounds the call to one daemon, which responds from memory.
const timeout = 2 * time.Second

var errNoLeader = errors.New("accounts: none of the daemons that responded is a leader; fix: give the metrics addresses of all daemons, or retry after a takeover")

// Command returns the command 'accounts ADDRESS...' of fennelctl.
func Command(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "accounts",
		ShortUsage: "fennelctl accounts ADDRESS...",
		ShortHelp:  "show what client accounts use of their caps; addresses are the daemons' metrics ports, such as 10.0.0.7:7003",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return errors.New("accounts: give the metrics address of one daemon or more")
			}
			return Show(ctx, out, errOut, args)
		},
	}
}

// Show prints the accounts, summed over the daemons at the addresses. Only shard leaders
// report accounts. A daemon that does not respond is listed on errOut, and the sums lack
// the shards that it leads.
func Show(ctx context.Context, out, errOut io.Writer, addresses []string) error {
	sums := map[string]quota.Row{}
	for _, address := range addresses {
		rows, err := read(ctx, address)
		if err != nil {
			fmt.Fprintf(errOut, "accounts: %s does not respond, the shards that it leads are missing: %v\n", address, err)
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

// write prints a table: CPU in cores, memory in MB.
func write(out io.Writer, rows []quota.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tWEIGHT\tCORES\tOF\tMEMORY\tOF\tUNCONFIRMED CORES\tWAITING CORES\tOVER ENTITLEMENT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%g\t%.1f\t%s\t%d\t%s\t%.1f\t%.1f\t%d\n", r.Account, r.Weight, cores(r.Held.MilliCPU), bound(r.Cap.MilliCPU, cores(r.Cap.MilliCPU)),
			r.Held.MemoryMB, bound(r.Cap.MemoryMB, float64(r.Cap.MemoryMB)), cores(r.Unconfirmed.MilliCPU), cores(r.Waiting.MilliCPU), r.OverEntitlement)
	}
	return w.Flush()
}

func cores(milli int64) float64 { return float64(milli) / 1000 }

// bound formats a cap; 0 means no cap.
func bound(limit int64, shown float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", shown)
}
