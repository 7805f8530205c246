// Package rapidtest runs the tests of a package that uses
// pgregory.net/rapid so that they give the same verdict on each run.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed of every property test, unless -rapid.seed is given.
const seed = "1"

// Main is the body of a TestMain: it fixes the seed of the property tests,
// keeps them from writing files of failed cases, runs all tests and exits.
// Flags that are given on the command line come first.
//
// Without it a fault that few cases show fails one run in many, on a commit
// that has nothing to do with it.
func Main(m *testing.M) {
	run(m, map[string]string{})
}

// MainChecks does what Main does, with a number of cases for each property.
func MainChecks(m *testing.M, checks int) {
	run(m, map[string]string{"rapid.checks": strconv.Itoa(checks)})
}

func run(m *testing.M, settings map[string]string) {
	flag.Parse()
	settings["rapid.seed"] = seed
	settings["rapid.nofailfile"] = "true"
	flag.Visit(func(f *flag.Flag) { delete(settings, f.Name) })
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not import rapid
		}
	}
	os.Exit(m.Run())
}
