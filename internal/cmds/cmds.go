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
	return tool.Main(newParser(), args)
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("dandelionsail", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving layer between callers and upstreams for prompts from a thousand to a million tokens. " +
		"Exit codes: 0 done, 1 failed, 2 wrong command line or setting, 3 another's change came first."
	add(parser.Command, []command{
		{"entry", "Run an entry instance", &entryCommand{}},
		{"relay", "Run an instance that passes requests on as callers sent them", &relayCommand{}},
		{"demo", "Run everything on loopback, send a few requests and report", &demoCommand{}},
		{"status", "Show instances, upstreams, pools and what is out of service", &statusCommand{}},
		{"report", "Show the service-level burn over all instances", &reportCommand{}},
		{"settings", "Print the settings of entry and relay instances as tables", &settingsCommand{}},
		{"completion", "Print the completion script of a shell", &completionCommand{}},
	})
	config := add(parser.Command, []command{{"config", "Check, compare and change the configuration", &struct{}{}}})
	add(config, []command{
		{"lint", "Check a directory of declarations", &lintCommand{}},
		{"diff", "Compare two directories of declarations", &diffCommand{}},
		{"plan", "Show what a directory would change in the version in force", &planCommand{}},
		{"patch", "Submit a directory or a saved plan", &patchCommand{}},
		{"get", "Print the version in force", &getCommand{}},
		{"history", "List the patches, newest last", &historyCommand{}},
		{"schema", "Print the JSON schema of the declarations", &schemaCommand{}},
		{"digest", "Print the digest of a token read from standard input", &digestCommand{}},
	})
	return parser
}

// add returns the last command it added.
func add(parent *flags.Command, commands []command) *flags.Command {
	var last *flags.Command
	for _, cmd := range commands {
		added, err := parent.AddCommand(cmd.name, cmd.short, "", cmd.handler)
		if err != nil {
			panic(err)
		}
		last = added
	}
	return last
}
