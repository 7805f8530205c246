// Package jobd is the command of the daemon that takes jobs from callers.
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

// logBuffer is how many lines may wait for a slow reader of the log; further
// ones are dropped and counted.
const logBuffer = 8192

// logTime is the form of times in the log: with milliseconds, so that the lines
// of several daemons can be put in order.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// memoryShare is the share of the machine's memory at which the collector
// works harder rather than let the process be killed.
const memoryShare = 0.6

// Run reads the flags and serves.
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
	defer func() { _ = out.Close() }() // nothing is left to log it to
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

// newLogWriter returns a writer that never blocks: lines that the reader does
// not take in time are dropped and counted.
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
		Handler: func(p cellnode.Parts) http.Handler {
			return &platform.Ingress{Jobs: p.Jobs, Catalog: p.Catalog, Standing: p.Standing, Closing: p.Closing, Observe: observe(log, p.Answered)}
		},
	}
}

// observe writes a line for each request that changes something or failed.
func observe(log zerolog.Logger, answered func(string, int, time.Duration)) func(platform.Observed) {
	return func(o platform.Observed) {
		answered(o.Method, o.Status, o.Took)
		if o.Method == http.MethodGet && o.Status == http.StatusOK {
			return
		}
		log.Info().Str("job", string(o.ID)).Str("queue", o.Queue).Str("account", o.Account).Int64("version", o.Version).Int64("age_ms", o.Age.Milliseconds()).Str("method", o.Method).Int("status", o.Status).
			Int64("took_ms", o.Took.Milliseconds()).AnErr("error", o.Err).Msg("request")
	}
}

// watchSignals stops the daemon on SIGTERM, and checks the settings on SIGHUP.
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

// reload reads the settings again. What a running daemon can take over is the
// level of its log; addresses and bounds are those of the process's start.
func reload(log zerolog.Logger, path string) {
	s, err := settings.LoadJobCell(path)
	if err != nil {
		log.Error().Err(err).Msg("settings can not be read, the earlier ones stay in use")
		return
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		log.Error().Err(err).Msg("settings can not be used, the earlier ones stay in use")
		return
	}
	zerolog.SetGlobalLevel(level)
	log.Info().Str("log_level", s.LogLevel).Msg("settings read again")
}
