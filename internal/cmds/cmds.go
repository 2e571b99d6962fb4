// Package cmds implements the commands of the dandelionsail program, one in each file.
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
		"Exit codes: 0 success, 1 failure, 2 invalid command line or setting, 3 conflict with an earlier change."
	addCommands(parser.Command, []command{
		{"entry", "Run an entry instance", &entryCommand{}},
		{"relay", "Run a relay instance, which forwards requests as callers sent them", &relayCommand{}},
		{"demo", "Run a whole deployment on loopback, send a few requests and print a report", &demoCommand{}},
		{"status", "Show instances, upstreams, pools and quarantined content", &statusCommand{}},
		{"report", "Show the measurements and the burn of the objectives over all instances", &reportCommand{}},
		{"settings", "Print the settings of entry and relay instances as tables", &settingsCommand{}},
		{"completion", "Print the completion script of a shell", &completionCommand{}},
	})
	config := addCommands(parser.Command, []command{{"config", "Check, compare and change the configuration", &struct{}{}}})
	addCommands(config, []command{
		{"lint", "Check a directory of declarations", &lintCommand{}},
		{"diff", "Compare two directories of declarations", &diffCommand{}},
		{"plan", "Show what a directory would change in the configuration in force", &planCommand{}},
		{"patch", "Submit the changes of a directory or of a saved plan", &patchCommand{}},
		{"get", "Print the configuration in force", &getCommand{}},
		{"history", "List the patches, newest last", &historyCommand{}},
		{"schema", "Print the JSON schema of the declarations", &schemaCommand{}},
		{"digest", "Print the digest of a token read from standard input", &digestCommand{}},
	})
	return parser
}

// addCommands adds the commands to the parent and returns the last one, to which subcommands can be added.
func addCommands(parent *flags.Command, commands []command) *flags.Command {
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
