// Package startflags parses the command-line flags common to the daemons.
package startflags

import (
	"cmp"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"
)

// Flags are the command-line flags of a daemon.
type Flags struct {
	// Settings is the path of the settings file.
	Settings string
	// Check makes the daemon check its files and exit.
	Check bool
	// LogLevel, if not empty, overrides the log level of the settings.
	LogLevel string
}

// Parse parses the flags of the named daemon. Flags that are not given are taken from
// environment variables with the prefix env.
func Parse(name, env string, args []string) (Flags, error) {
	var f Flags
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.StringVar(&f.Settings, "settings", "", "settings file (JSON); see docs/OPERATIONS.md for the fields")
	fs.BoolVar(&f.Check, "check", false, "check the settings and key files and exit")
	fs.StringVar(&f.LogLevel, "log-level", "", "overrides the settings' log_level: debug, info, warn or error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(env)); err != nil {
		return f, err
	}
	if f.Settings == "" {
		return f, errors.New("flag -settings: the settings file is required")
	}
	return f, nil
}

// Level returns the log level: the flag's, or that of the settings.
func (f Flags) Level(setting string) (zerolog.Level, error) {
	level, err := zerolog.ParseLevel(cmp.Or(f.LogLevel, setting))
	if err != nil {
		return level, fmt.Errorf("flag -log-level: %w", err)
	}
	return level, nil
}
