package cause_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that runs are repeatable, unless -rapid.seed is given; 0 draws a new
// seed.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(fl *flag.Flag) { given = given || fl.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
