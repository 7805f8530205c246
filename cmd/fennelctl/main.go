// Command fennelctl is the operators' tool of fennelshunt.
package main

import (
	"context"
	"os"
	"os/signal"

	"fennelshunt.example/fennelshunt/command/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
