package cmds

import (
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/sigs"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type entryCommand struct {
	entry.Options
}

// Execute implements flags.Commander.
func (cmd *entryCommand) Execute(_ []string) error { return cmd.Serve() }

// Serve implements tool.Server.
func (cmd *entryCommand) Serve() error {
	if err := cmd.Check(); err != nil {
		return tool.Usage(err)
	}
	return entry.New(cmd.Options, tool.Logger()).Run(sigs.Context(), sigs.Hangups())
}
