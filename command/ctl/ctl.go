// Package ctl is the operators' command line: thin commands over the
// administration API of any daemon.
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
	ExitInvalid  = 3 // the file is wrong
	ExitConflict = 4 // somebody else changed the file first
	ExitLagging  = 5 // applied, but not in force on every daemon in time
	ExitUnknown  = 6 // the file may have been applied
)

// DefaultTimeout bounds one call; it is more than an apply waits.
const DefaultTimeout = 30 * time.Second

// settings are the flags that all commands share.
type settings struct {
	address   string
	token     string
	tokenFile string
	ca        string
	timeout   time.Duration
	json      bool
}

// app is one run of the command line.
type app struct {
	out, err io.Writer
	in       io.Reader
	settings settings
}

// errLagging means that a version is not in force everywhere in time.
var errLagging = errors.New("not in force on every daemon yet")

// Run runs the command line and returns the exit code. extra are commands that
// the main package adds.
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

// exitCode returns the code that tells scripts what happened.
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

// printError writes an error, with one line per problem of a file.
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

// usageError is a wrong use of the command line.
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
	flags.StringVar(&s.ca, "ca", "", "PEM `file` with the certificates to trust")
	flags.DurationVar(&s.timeout, "timeout", DefaultTimeout, "time limit of one call")
	flags.BoolVar(&s.json, "json", false, "print answers as JSON")
	_ = flags.String("config", "", "JSON `file` with these settings")
	return &ffcli.Command{
		Name:       "fennelctl",
		ShortUsage: "fennelctl [flags] <command> [flags] [arguments]",
		ShortHelp:  "Apply configuration files to a cell and see how its work stands.",
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

// client returns a client by the settings.
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
