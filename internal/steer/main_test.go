package steer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain lets drawn tests draw the same each time, unless a seed is given: -rapid.seed 0 takes a new one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(fl *flag.Flag) { given = given || fl.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
