package cmds

import (
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type entryCommand struct {
	entry.Options
}

// Execute implements flags.Commander.
func (cmd *entryCommand) Execute(_ []string) error {
	if err := cmd.Check(); err != nil {
		return tool.Usage(err)
	}
	ctx, stop := tool.Context()
	defer stop()
	return entry.New(cmd.Options, tool.Logger()).Run(ctx)
}
