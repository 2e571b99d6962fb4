// Package bench implements the commands of the sailbench program, one in each file.
package bench

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"

	"dandelionsail.example/dandelionsail/internal/tool"
)

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string) int {
	parser := flags.NewNamedParser("sailbench", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for external systems, load tests and experiments for dandelionsail."
	standin, err := parser.AddCommand("standin", "Run a stand-in for an external system", "", &struct{}{})
	if err != nil {
		panic(err)
	}
	addCommand(standin, "engine", "Run a model engine", &engineCommand{})
	addCommand(standin, "service", "Run a plain service", &serviceCommand{})
	addCommand(standin, "platform", "Run the platform's key-value service and instance list", &platformCommand{})
	addCommand(standin, "weights", "Run the platform's weight store", &weightsCommand{})
	if _, err := parser.AddCommand("load", "Send a scenario's load to running entry instances", "", &loadCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("experiment", "Run a named experiment on processes that it starts itself", "", &experimentCommand{}); err != nil {
		panic(err)
	}
	addSlopes(parser)
	addCommand(parser.Command, "overhead", "Measure what an entry instance adds to an engine's answers", &overheadCommand{})
	addCommand(parser.Command, "losses", "Attribute the value lost in the logs of instances to causes", &lossesCommand{})
	addCommand(parser.Command, "policy", "Simulate policies against a model of engines in virtual time", &policyCommand{})
	addCommand(parser.Command, "prove", "Inject faults into a fleet under load and check its invariants", &proveCommand{})
	addCommand(parser.Command, "proxy", "Run a fault-injecting proxy in front of another process", &proxyCommand{})
	return tool.Main(parser, args)
}

func addCommand(parent *flags.Command, name, short string, handler any) {
	if _, err := parent.AddCommand(name, short, "", handler); err != nil {
		panic(err)
	}
}

// writeJSON writes results to the file as indented JSON. It writes nothing if the path is empty.
func writeJSON(path string, results any) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}
