package cmds

import (
	"os"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/relay"
	"dandelionsail.example/dandelionsail/internal/sigs"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/platform"
)

// RelayDialer opens the connections to replicas in processes of tests that cut an instance off from them. It is nil elsewhere.
var RelayDialer notice.Dialer

type relayCommand struct {
	relay.Options
}

// Execute implements flags.Commander.
func (cmd *relayCommand) Execute(_ []string) error { return cmd.Serve() }

// Serve implements tool.Server.
func (cmd *relayCommand) Serve() error {
	if err := cmd.Check(); err != nil {
		return tool.Usage(err)
	}
	writer := lines.New(os.Stdout, cmd.LogLines)
	logger := tool.Logger(writer)
	cmd.Dial = RelayDialer
	cmd.Memory.Apply()
	in := relay.New(cmd.Options, platform.New(cmd.Store), platform.Protocol{}, logger, writer)
	in.CatchPanics()
	err := in.Run(sigs.Context(), sigs.Hangups())
	// A line that could not be written is counted in Log.Failed. It is no failure of the process.
	_ = writer.Close()
	return err
}
