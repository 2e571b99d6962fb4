package cmds

import (
	"os"

	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/sigs"
	"dandelionsail.example/dandelionsail/internal/tool"
)

// entryLogLines is the maximum number of log lines per second of an entry instance, which logs no line per request.
const entryLogLines = 1000

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
	cmd.Memory.Apply()
	writer := lines.New(os.Stderr, entryLogLines)
	cmd.LogOutput = writer
	in := entry.New(cmd.Options, tool.Logger(writer))
	in.CatchPanics()
	err := in.Run(sigs.Context(), sigs.Hangups())
	// A line that could not be written is counted in Log.Failed. It is no failure of the process.
	_ = writer.Close()
	return err
}
