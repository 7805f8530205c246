// Package why shows what delays a job of a cell, as explained by the job's leader.
package why

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/command/metricsget"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/request/submit"
)

// timeout bounds the call to one daemon, which includes its call to the leader.
const timeout = 3 * time.Second

// errNotFound means that the leader has no record of the job.
var errNotFound = errors.New("the leader has no such job: it was never accepted, or ended long ago")

// Command returns the command 'why JOB ADDRESS...' of fennelctl.
func Command(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: "fennelctl why JOB ADDRESS...",
		ShortHelp:  "show what delays a job; addresses are daemons' metrics ports, such as 10.0.0.7:7003, and one that responds is enough",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) < 2 {
				return errors.New("why: give a job's id and the metrics address of one daemon or more")
			}
			return Show(ctx, out, errOut, args[0], args[1:])
		},
	}
}

// Show queries the daemons in turn and prints the first explanation. Daemons that fail
// are listed on errOut.
func Show(ctx context.Context, out, errOut io.Writer, job string, addresses []string) error {
	var last error
	for _, address := range addresses {
		x, err := read(ctx, address, job)
		if err == nil {
			return write(out, x)
		}
		last = err
		if !errors.Is(err, errNotFound) {
			fmt.Fprintf(errOut, "why: %s has no explanation: %v\n", address, err)
		}
	}
	return fmt.Errorf("why: %s: %w", job, last)
}

func read(ctx context.Context, address, job string) (x dispatch.Explanation, err error) {
	err = metricsget.JSON(ctx, address, submit.PathExplain+"?"+url.Values{"job": {job}}.Encode(), timeout, &x)
	var status *metricsget.StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		err = errNotFound
	}
	return x, err
}

// write prints an explanation: CPU in cores, memory in MB, times in seconds.
func write(out io.Writer, x dispatch.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "JOB\t%s\nSTATE\t%s\n", x.Job, x.State)
	if x.Account != "" {
		fmt.Fprintf(w, "ACCOUNT\t%s holds %.1f of %s cores, %d of %s MB in this shard%s\n", x.Account, float64(x.Held.MilliCPU)/1000, bound(x.Cap.MilliCPU/1000),
			x.Held.MemoryMB, bound(x.Cap.MemoryMB), map[bool]string{true: "; submitted over its entitlement"}[x.OverEntitlement])
	}
	for _, cause := range slices.Sorted(maps.Keys(x.Waited)) {
		fmt.Fprintf(w, "WAITED FOR\t%s %.1f s\n", cause, seconds(x.Waited[cause]))
	}
	if len(x.Steps) > 0 {
		fmt.Fprintln(w, "\nOCCURRENCE\tSTEP\tTASKS\tDONE\tRUNNING\tBLOCKED BY\tREADY FOR")
	}
	for _, s := range x.Steps {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%s\t%.1f s\n", s.Occurrence, s.Step, s.Tasks, s.Done, s.Running, orDash(s.WaitsFor), seconds(s.OpenMS))
	}
	for _, s := range x.Steps {
		for _, group := range s.Excluded {
			fmt.Fprintf(w, "EXCLUDED\t%d of %d workers that fit step %d.%d: %s%s%s\n", group.Workers, s.Fit, s.Occurrence, s.Step, group.Why,
				duration(" for %.1f s", group.SinceMS), duration(", the first ends in %.1f s", group.EndsMS))
		}
		switch {
		case s.AnyRacks:
			fmt.Fprintf(w, "RACK\tstep %d.%d may start on several racks%s\n", s.Occurrence, s.Step, duration(" since %.1f s ago", s.RackMS))
		case s.Rack != "":
			fmt.Fprintf(w, "RACK\tstep %d.%d seeks %s%s\n", s.Occurrence, s.Step, s.Rack, duration(" since %.1f s ago", s.RackMS))
		}
		for _, l := range s.LateStarts {
			fmt.Fprintf(w, "LATE START\t%s.%d.%d.%d on %s%s: %s\n", x.Job, s.Occurrence, s.Step, l.Index, l.Worker, duration(", sent %.1f s ago", l.AgeMS),
				cmp.Or(duration("may still be carried out for %.1f s", l.EndsMS), "what it may have started has to end")+
					note(l.Refused, ", the task may start on this worker, which refuses it"))
		}
		for _, t := range s.Suspects {
			fmt.Fprintf(w, "SUSPECT\t%s.%d.%d.%d\n", x.Job, s.Occurrence, s.Step, t.Index)
			for _, c := range t.Crashes {
				fmt.Fprintf(w, "\trun %d on %s%s%s\n", c.Run, c.Worker, note(c.Sole, ", no run of another job had started there"), note(c.Undecided, ", still in flight or worker unreachable"))
			}
		}
	}
	return w.Flush()
}

func note(is bool, text string) string {
	if is {
		return text
	}
	return ""
}

// duration formats milliseconds as seconds; "" for none.
func duration(format string, ms int64) string {
	if ms == 0 {
		return ""
	}
	return fmt.Sprintf(format, seconds(ms))
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// bound formats a cap; 0 means no cap.
func bound(limit int64) string {
	if limit == 0 {
		return "any number of"
	}
	return fmt.Sprint(limit)
}
