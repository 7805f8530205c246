package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/process/admin/api"
)

// print writes a result as JSON with -json, else as text.
func (a *app) print(result any, text func(io.Writer)) error {
	if a.settings.json {
		return writeJSON(a.out, result)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// get sends a GET request to the daemon named by the settings.
func (a *app) get(ctx context.Context, path string, query url.Values, result any) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	return client.Get(ctx, path, query, result)
}

func (a *app) filesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "files", ShortUsage: "fennelctl files [NAME]", FlagSet: a.flags("fennelctl files"),
		ShortHelp: "List the files in force, or print one.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return a.file(ctx, args[0])
			}
			var result api.Files
			if err := a.get(ctx, api.PathFiles, nil, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) {
				fmt.Fprintln(w, "FILE\tVERSION\tTEAM\tAUTHOR\tTIME")
				for _, f := range result.Files {
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", f.Name, f.Version, f.Team, f.Author, formatTime(f.Time))
				}
			})
		},
	}
}

// file prints a file in the form in which it can be applied again.
func (a *app) file(ctx context.Context, name string) error {
	var result api.File
	if err := a.get(ctx, api.PathFiles+"/"+url.PathEscape(name), nil, &result); err != nil {
		return err
	}
	return writeJSON(a.out, result.Content)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func (a *app) historyCommand() *ffcli.Command {
	flags := a.flags("fennelctl history")
	limit := flags.Int("n", 20, "`number` of versions to list")
	before := flags.Uint64("before", 0, "list versions below this one")
	return &ffcli.Command{
		Name: "history", ShortUsage: "fennelctl history [-n NUMBER] [-before VERSION]", FlagSet: flags,
		ShortHelp: "List the applied and removed files, the latest first.",
		Exec: func(ctx context.Context, _ []string) error {
			query := url.Values{api.ParamLimit: {strconv.Itoa(*limit)}, api.ParamBefore: {base(*before)}}
			var result api.History
			if err := a.get(ctx, api.PathHistory, query, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) { printHistory(w, result) })
		},
	}
}

func printHistory(w io.Writer, result api.History) {
	fmt.Fprintln(w, "VERSION\tFILE\tCHANGE\tAUTHOR\tTIME")
	for _, c := range result.Changes {
		change := "applied"
		if c.Removed {
			change = "removed"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Version, c.File, change, c.Author, formatTime(c.Time))
	}
	if result.Before > 0 {
		fmt.Fprintf(w, "earlier: fennelctl history -before %d\n", result.Before)
	}
}

func (a *app) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "fennelctl status", FlagSet: a.flags("fennelctl status"),
		ShortHelp: "Show the daemons with the version that each has in force, and the jobs.",
		Exec: func(ctx context.Context, _ []string) error {
			var result api.Status
			if err := a.get(ctx, api.PathStatus, nil, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) { printStatus(w, result) })
		},
	}
}

func printStatus(w io.Writer, s api.Status) {
	up := "up"
	if !s.StoreUp {
		up = "DOWN"
	}
	fmt.Fprintf(w, "version %d in force, %d in the store, store %s\n", s.Version, s.StoreVersion, up)
	printMembers(w, s.Members, s.Version)
	if len(s.Jobs) == 0 {
		return
	}
	fmt.Fprintln(w, "JOB\tTEAM\tKIND\tDESIRED\tRUNNING\tWAITING\tDONE\tFAILED\tUNKNOWN\tMESSAGE")
	for _, j := range s.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			j.Name, j.Team, j.Kind, j.Desired, j.Running, j.Waiting, j.Done, j.Failed, j.Unknown, j.Message)
	}
}

// printMembers lists the daemons with the version that each has in force.
func printMembers(w io.Writer, members []api.Member, version uint64) {
	if len(members) == 0 {
		return
	}
	fmt.Fprintln(w, "DAEMON\tZONE\tSTATE\tVERSION\t")
	for _, m := range members {
		note := "in force"
		switch {
		case !m.Known:
			note = "NO REPORT"
		case m.Version < version:
			note = "LAGS"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.ID, m.Zone, m.State, m.Version, note)
	}
}

func (a *app) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "fennelctl explain JOB/GENERATION/INDEX", FlagSet: a.flags("fennelctl explain"),
		ShortHelp: "Explain why a task waits, or show where it runs.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("give one task as job/generation/index")
			}
			var result api.Explanation
			if err := a.get(ctx, api.PathExplain, url.Values{api.ParamTask: args}, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) {
				fmt.Fprintf(w, "task %s: %s\n", result.Task, result.State)
				for _, reason := range result.Reasons {
					fmt.Fprintln(w, " ", reason)
				}
			})
		},
	}
}

func (a *app) reportCommand() *ffcli.Command {
	flags := a.flags("fennelctl report")
	format := formatValue("text")
	flags.Var(&format, "format", "`format`: text, json or html")
	return &ffcli.Command{
		Name: "report", ShortUsage: "fennelctl report [-format FORMAT]", FlagSet: flags,
		ShortHelp: "Report the error budget burn per service and team.",
		Exec: func(ctx context.Context, _ []string) error {
			var body []byte
			if err := a.get(ctx, api.PathReport, url.Values{api.ParamFormat: {string(format)}}, &body); err != nil {
				return err
			}
			_, err := a.out.Write(body)
			return err
		},
	}
}
