// Sailbench runs stand-ins for the external systems, load tests against a fleet, and experiments.
package main

import (
	"os"

	"dandelionsail.example/dandelionsail/internal/bench"
	"dandelionsail.example/dandelionsail/internal/cmds"
	"dandelionsail.example/dandelionsail/internal/fleet"
)

func main() {
	fleet.Dispatch(map[string]func([]string) int{fleet.ProgramProduct: cmds.Main, fleet.ProgramBench: bench.Main})
	os.Exit(bench.Main(os.Args[1:]))
}
