package cmds

import (
	"dandelionsail.example/dandelionsail/internal/relay"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/platform"
)

type relayCommand struct {
	relay.Options
}

// Execute implements flags.Commander.
func (cmd *relayCommand) Execute(_ []string) error {
	if err := cmd.Check(); err != nil {
		return tool.Usage(err)
	}
	ctx, stop := tool.Context()
	defer stop()
	return relay.New(cmd.Options, platform.New(cmd.Store), platform.Protocol{}, tool.Logger()).Run(ctx)
}
