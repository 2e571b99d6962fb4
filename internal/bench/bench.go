// Package bench holds the commands of the sailbench program, one a file.
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
	parser.LongDescription = "Stand-ins, load and experiments for dandelionsail."
	standin, err := parser.AddCommand("standin", "Run the stand-in of an outside system", "", &struct{}{})
	if err != nil {
		panic(err)
	}
	add(standin, "engine", "Run a model engine", &engineCommand{})
	add(standin, "service", "Run a plain service", &serviceCommand{})
	add(standin, "platform", "Run the platform's key-value service and instance list", &platformCommand{})
	add(standin, "weights", "Run the platform's weight store", &weightsCommand{})
	if _, err := parser.AddCommand("load", "Send a scenario's load to entry instances that run", "", &loadCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("experiment", "Run a named experiment with processes of its own", "", &experimentCommand{}); err != nil {
		panic(err)
	}
	addSlopes(parser)
	add(parser.Command, "overhead", "Measure what an entry instance adds to an engine's answers", &overheadCommand{})
	add(parser.Command, "losses", "Tell from the logs of instances where worth was lost", &lossesCommand{})
	add(parser.Command, "policy", "Play the policy against a model of engines in virtual time", &policyCommand{})
	add(parser.Command, "prove", "Inject faults into a fleet under load and check what must always hold", &proveCommand{})
	add(parser.Command, "proxy", "Run a fault-injecting proxy before another process", &proxyCommand{})
	return tool.Main(parser, args)
}

func add(parent *flags.Command, name, short string, handler any) {
	if _, err := parent.AddCommand(name, short, "", handler); err != nil {
		panic(err)
	}
}

// writeJSON writes a command's results to the file, or nothing without one.
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
