// Command fennelshuntd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/process/daemon"
	"fennelshunt.example/fennelshunt/process/settings"
)

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "fennelshuntd:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("fennelshuntd", flag.ContinueOnError)
	var (
		path  = fs.String("settings", "", "settings file (JSON); see docs/OPERATIONS.md for the fields")
		check = fs.Bool("check", false, "check the settings and key files and exit")
		level = fs.String("log-level", "", "overrides the settings' log_level: debug, info, warn or error")
	)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FENNELSHUNTD")); err != nil {
		return err
	}
	if *path == "" {
		return errors.New("flag -settings: name the settings file")
	}
	s, err := settings.Load(*path)
	if err != nil {
		return err
	}
	if *level != "" {
		s.LogLevel = *level
	}
	parsed, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("flag -log-level: %w", err)
	}
	o := daemon.Options{Settings: s, Log: zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()}
	if *check {
		if err := daemon.Check(o); err != nil {
			return err
		}
		fmt.Println(*path + ": ok")
		return nil
	}
	return serve(o)
}

// serve runs the daemon until a signal asks for a planned stop; a second
// signal ends it at once.
func serve(o daemon.Options) error {
	daemon.RedirectStandardLog(o.Log)
	d, err := daemon.New(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		go func() {
			<-signals
			cancel()
		}()
		if err := d.Stop(ctx); err != nil {
			o.Log.Warn().Err(err).Msg("planned stop was cut short")
			cancel()
		}
	}()
	if err := d.Serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
