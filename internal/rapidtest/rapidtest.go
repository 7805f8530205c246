// Package rapidtest makes the property tests of a package that uses
// pgregory.net/rapid deterministic.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of all property tests, unless -rapid.seed is given.
const seed = "1"

// Main is the body of a TestMain: it fixes the seed of the property tests, disables
// the files in which rapid stores failing cases, runs all tests and exits. Flags given
// on the command line take precedence.
//
// With random seeds, a fault that only few cases reveal would fail one run in many, at
// an unrelated commit.
func Main(m *testing.M) {
	run(m, map[string]string{})
}

// MainChecks is Main with the given number of cases for each property.
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
