// Command fennelctl is the operators' tool of fennelshunt.
package main

import (
	"context"
	"os"
	"os/signal"

	"fennelshunt.example/fennelshunt/command/accounts"
	"fennelshunt.example/fennelshunt/command/ctl"
	"fennelshunt.example/fennelshunt/command/demo"
	"fennelshunt.example/fennelshunt/command/keyset"
	"fennelshunt.example/fennelshunt/command/trace"
	"fennelshunt.example/fennelshunt/command/why"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr,
		demo.Command(os.Stdout, os.Stderr), keyset.Command(os.Stdout), trace.Command(os.Stdout), accounts.Command(os.Stdout, os.Stderr),
		why.Command(os.Stdout, os.Stderr)))
}
