// Command fennelstandin serves the stand-ins of the platform in one process: a
// key-value service, a list of VMs, and workers with their endpoints. Faults are
// injected and counts are read over HTTP.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"fennelshunt.example/fennelshunt/standin/platform"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "fennelstandin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("fennelstandin", flag.ContinueOnError)
	var (
		cell    = fs.String("cell", "authority", "user whose workers are served: authority or guild")
		kvAddr  = fs.String("store", "127.0.0.1:7000", "address of the key-value service")
		vmsAddr = fs.String("vm-list", "127.0.0.1:7001", "address of the list of VMs")
		control = fs.String("control", "127.0.0.1:7002", "address for reports and fault injection")
		work    = fs.Duration("work", 20*time.Millisecond, "working time of an endpoint for each request")
		lag     = fs.Duration("lag", time.Second, "lag of the list of VMs")
		workers = fs.Int("workers", 0, "number of workers; 0 for the user's default")
		seed    = fs.Uint64("seed", 1, "seed of the random faults")
	)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FENNELSTANDIN")); err != nil {
		return err
	}
	shape, err := shapeOf(*cell, *workers)
	if err != nil {
		return err
	}
	return serve(platform.Options{
		Shape: shape, Work: *work, Lag: *lag, Seed: *seed, Store: *kvAddr, VMList: *vmsAddr,
	}, *control)
}

// shapeOf returns the shape of a user's cell. A positive number of workers replaces the
// user's default.
func shapeOf(cell string, workers int) (platform.Shape, error) {
	var shape platform.Shape
	switch cell {
	case "authority":
		shape = platform.Authority()
	case "guild":
		shape = platform.Guild()
	default:
		return shape, fmt.Errorf("flag -cell: unknown user %q; use authority or guild", cell)
	}
	if workers > 0 {
		shape.Workers = workers
	}
	return shape, nil
}

// serve runs the stand-ins, and their control API at the address, until a signal.
func serve(o platform.Options, control string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p, err := platform.Start(ctx, o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", control)
	if err != nil {
		return errors.Join(err, p.Close())
	}
	server := &http.Server{Handler: p.Control(), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the process exits
	}()
	fmt.Printf("store %s\nvm list %s\ncontrol http://%s\n", p.StoreURL, p.VMListURL, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return p.Close()
}
