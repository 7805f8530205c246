// Package jobd is the main program of fenneljobd, the daemon that accepts jobs from callers.
package jobd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"fennelshunt.example/fennelshunt/command/startflags"
	"fennelshunt.example/fennelshunt/connection/traffic"
	"fennelshunt.example/fennelshunt/internal/liblog"
	"fennelshunt.example/fennelshunt/platform"
	"fennelshunt.example/fennelshunt/process/cellnode"
	"fennelshunt.example/fennelshunt/process/settings"
)

// logBuffer is how many log lines are buffered for a slow reader of standard
// output; further lines are dropped and counted.
const logBuffer = 8192

// logTime is the timestamp format of log lines. It has milliseconds, so that
// the lines of several daemons can be merged in order.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// memoryShare is the share of the machine's memory set as the runtime's soft
// memory limit: near it the garbage collector runs more often, before the kernel
// kills the process for lack of memory.
const memoryShare = 0.6

// Run parses the flags, loads the settings and runs the daemon until it is stopped.
func Run(args []string) error {
	f, err := startflags.Parse("fenneljobd", "FENNELJOBD", args)
	if err != nil {
		return err
	}
	s, err := settings.LoadJobCell(f.Settings)
	if err != nil {
		return err
	}
	level, err := f.Level(s.LogLevel)
	if err != nil {
		return err
	}
	if f.Check {
		fmt.Println(f.Settings + ": ok")
		return nil
	}
	return serve(s, level, f.Settings)
}

func serve(s *settings.JobCell, level zerolog.Level, path string) error {
	var dropped atomic.Int64
	out := newLogWriter(os.Stdout, &dropped)
	defer func() { _ = out.Close() }() // the log itself is being closed
	zerolog.TimeFieldFormat = logTime
	log := zerolog.New(out).Level(level).With().Timestamp().Str("daemon", s.Name).Logger()
	liblog.Redirect(log)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	node, err := cellnode.New(options(s, log, dropped.Load))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSignals(ctx, cancel, node, log, path)
	if err := node.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newLogWriter returns a writer that never blocks. Lines are dropped and
// counted while the buffer is full.
func newLogWriter(to io.Writer, dropped *atomic.Int64) diode.Writer {
	return diode.NewWriter(to, logBuffer, 0, func(n int) { dropped.Add(int64(n)) })
}

func options(s *settings.JobCell, log zerolog.Logger, dropped func() int64) cellnode.Options {
	meter := &traffic.Meter{}
	client := platform.NewClient(meter)
	kv := platform.NewStore(client, s.Store)
	return cellnode.Options{
		Settings: s, Store: kv, Runner: platform.NewWorkers(client), Directory: platform.Directory{Store: kv},
		Catalogs: platform.Catalogs{Store: kv}, Adviser: &platform.Adviser{Client: client, Address: s.Advice},
		Log: log, Dropped: dropped, Traffic: meter,
		Handler: func(deps cellnode.HandlerDeps) http.Handler {
			return &platform.Ingress{Jobs: deps.Jobs, Catalog: deps.Catalog, ConfigStatus: deps.ConfigStatus, Closing: deps.Closing, Observe: observe(log, deps.Answered)}
		},
	}
}

// observe logs each request that is not a successful read.
func observe(log zerolog.Logger, answered func(string, int, time.Duration)) func(platform.AnsweredRequest) {
	return func(o platform.AnsweredRequest) {
		answered(o.Method, o.Status, o.Took)
		if o.Method == http.MethodGet && o.Status == http.StatusOK {
			return
		}
		log.Info().Str("job", string(o.ID)).Str("queue", o.Queue).Str("account", o.Account).Int64("version", o.Version).Int64("age_ms", o.Age.Milliseconds()).Str("method", o.Method).Int("status", o.Status).
			Int64("took_ms", o.Took.Milliseconds()).AnErr("error", o.Err).Msg("request")
	}
}

// watchSignals begins a planned stop on the first SIGINT or SIGTERM, ends the
// daemon at once on the second, and reloads the settings on SIGHUP.
func watchSignals(ctx context.Context, cancel context.CancelFunc, node *cellnode.Node, log zerolog.Logger, path string) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				reload(log, path)
			case stopping:
				cancel()
			default:
				stopping = true
				go func() {
					node.Stop(ctx)
					cancel()
				}()
			}
		}
	}
}

// reload reads the settings file again. Only the log level takes effect in a
// running daemon; addresses and limits need a restart.
func reload(log zerolog.Logger, path string) {
	s, err := settings.LoadJobCell(path)
	if err != nil {
		log.Error().Err(err).Msg("settings file cannot be loaded; keeping the current settings")
		return
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		log.Error().Err(err).Msg("log_level is invalid; keeping the current settings")
		return
	}
	zerolog.SetGlobalLevel(level)
	log.Info().Str("log_level", s.LogLevel).Msg("settings reloaded")
}
