// Package ctl implements the operators' command line, fennelctl: thin commands
// over the administration API, which any daemon serves.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/process/admin/api"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2 // wrong flags or arguments
	ExitInvalid  = 3 // invalid file
	ExitConflict = 4 // the file was changed after the base version
	ExitLagging  = 5 // applied, but not in force on every daemon in time
	ExitUnknown  = 6 // the file may have been applied
)

// DefaultTimeout bounds one call. It is longer than an apply waits for the daemons.
const DefaultTimeout = 30 * time.Second

// settings are the flags common to all commands.
type settings struct {
	address   string
	token     string
	tokenFile string
	ca        string
	timeout   time.Duration
	json      bool
}

// app is one invocation of the command line.
type app struct {
	out, err io.Writer
	in       io.Reader
	settings settings
}

// errLagging means that a version was not in force on every daemon in time.
var errLagging = errors.New("not in force on every daemon yet")

// Run runs the command line and returns the exit code. extra are further
// subcommands, added by the main package.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, extra ...*ffcli.Command) int {
	a := &app{out: out, err: errOut, in: in}
	root := a.root(extra)
	err := root.ParseAndRun(ctx, args)
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, flag.ErrHelp) {
		a.printError(err)
	}
	return exitCode(err)
}

// exitCode maps an error to the exit code that scripts check.
func exitCode(err error) int {
	var e *api.Error
	switch {
	case errors.Is(err, flag.ErrHelp) || errors.As(err, new(usageError)):
		return ExitUsage
	case errors.Is(err, errInvalid):
		return ExitInvalid
	case errors.Is(err, errLagging):
		return ExitLagging
	case errors.Is(err, errMayHaveApplied):
		return ExitUnknown
	case !errors.As(err, &e):
		return ExitFailure
	}
	switch e.Code {
	case api.CodeInvalid:
		return ExitInvalid
	case api.CodeConflict:
		return ExitConflict
	case api.CodeUnknownOutcome:
		return ExitUnknown
	default:
		return ExitFailure
	}
}

// printError prints an error; the problems of a file go on a line each.
func (a *app) printError(err error) {
	var e *api.Error
	if errors.As(err, &e) && len(e.Problems) > 0 {
		for _, p := range e.Problems {
			fmt.Fprintln(a.err, p)
		}
		return
	}
	fmt.Fprintln(a.err, "fennelctl:", err)
}

// usageError reports invalid flags or arguments.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// root returns the command tree.
func (a *app) root(extra []*ffcli.Command) *ffcli.Command {
	flags := a.flags("fennelctl")
	s := &a.settings
	flags.StringVar(&s.address, "addr", "127.0.0.1:7440", "administration `address` of any daemon: host:port for HTTPS, or a URL")
	flags.StringVar(&s.tokenFile, "token-file", "", "`file` with the bearer token")
	flags.StringVar(&s.token, "token", "", "bearer `token`; prefer -token-file or FENNELCTL_TOKEN")
	flags.StringVar(&s.ca, "ca", "", "PEM `file` with the CA certificates to trust")
	flags.DurationVar(&s.timeout, "timeout", DefaultTimeout, "time limit of one call")
	flags.BoolVar(&s.json, "json", false, "print results as JSON")
	_ = flags.String("config", "", "JSON `file` with these settings")
	return &ffcli.Command{
		Name:       "fennelctl",
		ShortUsage: "fennelctl [flags] <command> [flags] [arguments]",
		ShortHelp:  "Apply configuration files to a cell and show the state of its jobs.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("FENNELCTL"), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.JSONParser)},
		Subcommands: append([]*ffcli.Command{
			a.validateCommand(), a.diffCommand(), a.applyCommand(), a.filesCommand(), a.historyCommand(),
			a.statusCommand(), a.explainCommand(), a.reportCommand(), a.tokenCommand(),
		}, extra...),
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (a *app) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(a.err)
	return flags
}

// client returns a client for the daemon named by the settings.
func (a *app) client() (*Client, error) {
	token := a.settings.token
	if a.settings.tokenFile != "" {
		data, err := os.ReadFile(a.settings.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError("no token; fix: give -token-file or set FENNELCTL_TOKEN")
	}
	return NewClient(a.settings.address, token, a.settings.ca, a.settings.timeout)
}
