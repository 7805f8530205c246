// Command fennelbench measures a cell under load and compares results.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"fennelshunt.example/fennelshunt/command/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := bench.Root(os.Stdout, os.Stderr).ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "fennelbench:", err)
		os.Exit(1)
	}
}
