// Package cmds holds the commands of the dandelionsail program, one a file.
package cmds

import (
	"github.com/jessevdk/go-flags"

	"dandelionsail.example/dandelionsail/internal/tool"
)

type command struct {
	name    string
	short   string
	handler any
}

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string) int {
	parser := flags.NewNamedParser("dandelionsail", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving layer between callers and upstreams for prompts from a thousand to a million tokens."
	commands := []command{
		{"entry", "Run an entry instance", &entryCommand{}},
		{"demo", "Run everything on loopback, send a few requests and report", &demoCommand{}},
	}
	for _, cmd := range commands {
		if _, err := parser.AddCommand(cmd.name, cmd.short, "", cmd.handler); err != nil {
			panic(err)
		}
	}
	return tool.Main(parser, args)
}
