// Package startflags holds the flags that the daemons share.
package startflags

import (
	"cmp"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"
)

// Flags of a daemon.
type Flags struct {
	// Settings is the path of the settings file.
	Settings string
	// Check asks to check the files and exit.
	Check bool
	// LogLevel overrides the settings' when it is not empty.
	LogLevel string
}

// Parse reads the flags of the daemon with the name, also from variables that
// begin with env.
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
		return f, errors.New("flag -settings: name the settings file")
	}
	return f, nil
}

// Level returns the level to log at, given the settings'.
func (f Flags) Level(setting string) (zerolog.Level, error) {
	level, err := zerolog.ParseLevel(cmp.Or(f.LogLevel, setting))
	if err != nil {
		return level, fmt.Errorf("flag -log-level: %w", err)
	}
	return level, nil
}
