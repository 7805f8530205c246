// Command fennelstandin serves the stand-ins of the platform as one process: a
// key-value service, a list of VMs and the workers with their endpoints, with
// faults that are switched on and off over HTTP and a count of what was seen.
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
		cell    = fs.String("cell", "authority", "workers of which user: authority or guild")
		kvAddr  = fs.String("store", "127.0.0.1:7000", "address of the key-value service")
		vmsAddr = fs.String("vm-list", "127.0.0.1:7001", "address of the list of VMs")
		control = fs.String("control", "127.0.0.1:7002", "address for reports and faults")
		work    = fs.Duration("work", 20*time.Millisecond, "time that an endpoint takes for a request")
		lag     = fs.Duration("lag", time.Second, "lag of the list of VMs")
		workers = fs.Int("workers", 0, "number of workers, 0 for the user's own")
		seed    = fs.Uint64("seed", 1, "seed of the faults' random choices")
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

// shapeOf returns the cell of a user; a positive number of workers replaces the
// user's own.
func shapeOf(cell string, workers int) (platform.Shape, error) {
	var shape platform.Shape
	switch cell {
	case "authority":
		shape = platform.Authority()
	case "guild":
		shape = platform.Guild()
	default:
		return shape, fmt.Errorf("flag -cell: %q is not known; use authority or guild", cell)
	}
	if workers > 0 {
		shape.Workers = workers
	}
	return shape, nil
}

// serve runs the stand-ins, and their control on the address, until a signal.
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
		_ = server.Close() // the process ends
	}()
	fmt.Printf("store %s\nvm list %s\ncontrol http://%s\n", p.StoreURL, p.VMListURL, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return p.Close()
}
