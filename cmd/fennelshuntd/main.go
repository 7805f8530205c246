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

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/command/startflags"
	"fennelshunt.example/fennelshunt/internal/liblog"
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
	f, err := startflags.Parse("fennelshuntd", "FENNELSHUNTD", args)
	if err != nil {
		return err
	}
	s, err := settings.Load(f.Settings)
	if err != nil {
		return err
	}
	level, err := f.Level(s.LogLevel)
	if err != nil {
		return err
	}
	o := daemon.Options{Settings: s, Log: zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()}
	if f.Check {
		if err := daemon.Check(o); err != nil {
			return err
		}
		fmt.Println(f.Settings + ": ok")
		return nil
	}
	return serve(o)
}

// serve runs the daemon until SIGINT or SIGTERM starts a planned stop; a second
// signal ends the daemon at once.
func serve(o daemon.Options) error {
	liblog.Redirect(o.Log)
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
			o.Log.Warn().Err(err).Msg("planned stop did not complete; the daemon ends without repeating what failed")
			cancel()
		}
	}()
	if err := d.Serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
