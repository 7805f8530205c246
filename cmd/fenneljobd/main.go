// Command fenneljobd is the daemon of a cell that accepts jobs from callers and
// runs them on the workers of the users' platform.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"fennelshunt.example/fennelshunt/command/jobd"
)

func main() {
	if err := jobd.Run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "fenneljobd:", err)
		os.Exit(1)
	}
}
