package cmds

import (
	"errors"
	"os"

	"dandelionsail.example/dandelionsail/internal/lines"
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
	writer := lines.New(os.Stdout, cmd.LogLines)
	logger := tool.Logger()
	logger.Writer = writer
	err := relay.New(cmd.Options, platform.New(cmd.Store), platform.Protocol{}, logger, writer.Dropped).Run(ctx)
	return errors.Join(err, writer.Close())
}
