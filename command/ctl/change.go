package ctl

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/version/spec"
)

var (
	errInvalid = errors.New("invalid file")
	// errMayHaveApplied means that the response to a change was lost.
	errMayHaveApplied = errors.New("the file may have been applied; fix: apply the same file on the same base again, it takes effect once")
)

// read returns the content of a file; the path "-" means standard input.
func (a *app) read(path string) ([]byte, error) {
	if path != "-" {
		return os.ReadFile(path)
	}
	data, err := io.ReadAll(io.LimitReader(a.in, spec.MaxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("standard input: %w", err)
	}
	return data, nil
}

// parse reads a file and checks it locally.
func (a *app) parse(path string) ([]byte, *spec.File, error) {
	data, err := a.read(path)
	if err != nil {
		return nil, nil, err
	}
	file, err := spec.Parse(path, data)
	if err != nil {
		return nil, nil, fmt.Errorf("%w:\n%w", errInvalid, err)
	}
	return data, file, nil
}

// base formats a version as the value of a query parameter.
func base(version uint64) string { return strconv.FormatUint(version, 10) }

func needFiles(args []string) error {
	if len(args) == 0 {
		return usageError("no file given; fix: name one or more configuration files, or - for the standard input")
	}
	return nil
}

func (a *app) validateCommand() *ffcli.Command {
	flags := a.flags("fennelctl validate")
	offline := flags.Bool("offline", false, "check the files by themselves, without a daemon")
	schema := flags.Bool("schema", false, "print the JSON Schema of configuration files")
	return &ffcli.Command{
		Name: "validate", ShortUsage: "fennelctl validate [-offline] FILE...", FlagSet: flags,
		ShortHelp: "Check files by themselves and against the configuration in force.",
		Exec: func(ctx context.Context, args []string) error {
			if *schema {
				_, err := a.out.Write(spec.Schema())
				return err
			}
			if err := needFiles(args); err != nil {
				return err
			}
			return a.validate(ctx, args, *offline)
		},
	}
}

// validate checks all files and returns the errors of all of them.
func (a *app) validate(ctx context.Context, paths []string, offline bool) error {
	var errs []error
	for _, path := range paths {
		if err := a.validateOne(ctx, path, offline); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (a *app) validateOne(ctx context.Context, path string, offline bool) error {
	data, file, err := a.parse(path)
	if err != nil {
		return err
	}
	if !offline {
		client, err := a.client()
		if err != nil {
			return err
		}
		var result api.Validated
		if err := client.Post(ctx, api.PathValidate, url.Values{api.ParamName: {path}}, data, &result); err != nil {
			return err
		}
	}
	fmt.Fprintf(a.out, "%s: file %s with %d jobs is valid\n", path, file.Name, len(file.Jobs))
	return nil
}

func (a *app) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "diff", ShortUsage: "fennelctl diff FILE...", FlagSet: a.flags("fennelctl diff"),
		ShortHelp: "Show what applying files would change, and the base to apply on.",
		Exec: func(ctx context.Context, args []string) error {
			if err := needFiles(args); err != nil {
				return err
			}
			for _, path := range args {
				if err := a.diff(ctx, path); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (a *app) diff(ctx context.Context, path string) error {
	data, _, err := a.parse(path)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	var result api.Diffed
	if err := client.Post(ctx, api.PathDiff, url.Values{api.ParamName: {path}}, data, &result); err != nil {
		return err
	}
	return a.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "file %s, base %d: %d differences\n", result.File, result.Base, len(result.Differences))
		for _, d := range result.Differences {
			fmt.Fprintln(w, d)
		}
	})
}

func (a *app) applyCommand() *ffcli.Command {
	flags := a.flags("fennelctl apply")
	base := flags.String("base", "", "the `version` that the change is based on; by default the latest version now")
	wait := flags.Bool("wait", true, "wait until the version is in force on every daemon, for 9 s at most")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "fennelctl apply [-base VERSION] FILE...", FlagSet: flags,
		ShortHelp: "Apply files, each as a whole, and report which daemons have them in force.",
		LongHelp: "A file replaces the file of the same name: its jobs that are no longer listed are\n" +
			"cancelled. If the file was changed by another author after the base version, nothing is\n" +
			"applied. Exit codes: 3 invalid file, 4 conflict, 5 some daemon lags, 6 outcome unknown.",
		Exec: func(ctx context.Context, args []string) error {
			if err := needFiles(args); err != nil {
				return err
			}
			return a.applyAll(ctx, args, *base, *wait)
		},
	}
}

// applyAll parses all files before it applies the first.
func (a *app) applyAll(ctx context.Context, paths []string, base string, wait bool) error {
	files := make([][]byte, len(paths))
	var errs []error
	for i, path := range paths {
		data, _, err := a.parse(path)
		files[i] = data
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	for i, path := range paths {
		if err := a.apply(ctx, client, path, files[i], base, wait); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) apply(ctx context.Context, client *Client, path string, data []byte, onBase string, wait bool) error {
	if onBase == "" {
		var diffed api.Diffed
		if err := client.Post(ctx, api.PathDiff, url.Values{api.ParamName: {path}}, data, &diffed); err != nil {
			return err
		}
		onBase = base(diffed.Base)
	}
	query := url.Values{api.ParamName: {path}, api.ParamBase: {onBase}, api.ParamWait: {strconv.FormatBool(wait)}}
	var result api.Applied
	err := client.Post(ctx, api.PathApply, query, data, &result)
	if errors.Is(err, ErrNoAnswer) {
		return fmt.Errorf("%s on base %s: %w: %w", path, onBase, errMayHaveApplied, err)
	}
	if err != nil {
		return err
	}
	if err := a.print(result, func(w io.Writer) { printApplied(w, result) }); err != nil {
		return err
	}
	if len(result.Lagging) > 0 {
		return fmt.Errorf("version %d: %w: %d of %d daemons lag", result.Version, errLagging, len(result.Lagging), len(result.Members))
	}
	return nil
}

func printApplied(w io.Writer, result api.Applied) {
	if result.Unchanged {
		fmt.Fprintf(w, "file %s is unchanged, in force since version %d\n", result.File, result.Version)
	} else {
		fmt.Fprintf(w, "file %s applied as version %d\n", result.File, result.Version)
	}
	printMembers(w, result.Members, result.Version)
}

func (a *app) tokenCommand() *ffcli.Command {
	flags := a.flags("fennelctl token")
	name := flags.String("name", "", "`name` of the holder, for the audit log")
	team := flags.String("team", "", "`team` of the holder; without it the token is an operator's")
	return &ffcli.Command{
		Name: "token", ShortUsage: "fennelctl token -name NAME [-team TEAM]", FlagSet: flags,
		ShortHelp: "Create a token and its entry for the daemons' token file.",
		Exec: func(context.Context, []string) error {
			if *name == "" {
				return usageError("no -name given")
			}
			return a.createToken(*name, *team)
		},
	}
}

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 32

func (a *app) createToken(name, team string) error {
	secret := make([]byte, tokenBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("token: %w", err)
	}
	token := base64.RawURLEncoding.EncodeToString(secret)
	entry := map[string]string{"name": name, "role": string(admin.RoleOperator), "sha256": admin.HashToken(token)}
	if team != "" {
		entry["role"], entry["team"] = string(admin.RoleTeam), team
	}
	fmt.Fprintln(a.out, token)
	return writeJSON(a.err, entry)
}

var _ flag.Value = (*formatValue)(nil)

// formatValue is the flag value for the format of a report.
type formatValue string

// String implements flag.Value.
func (f *formatValue) String() string { return string(*f) }

// Set implements flag.Value.
func (f *formatValue) Set(s string) error {
	switch admin.ReportFormat(s) {
	case admin.ReportText, admin.ReportJSON, admin.ReportHTML:
		*f = formatValue(s)
		return nil
	default:
		return fmt.Errorf("want text, json or html")
	}
}
