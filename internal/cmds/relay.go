package cmds

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/relay"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/platform"
)

// RelayDialer opens the connections to replicas in processes of tests that cut an instance off from them. It is nil elsewhere.
var RelayDialer notice.Dialer

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
	cmd.Dial = RelayDialer
	in := relay.New(cmd.Options, platform.New(cmd.Store), platform.Protocol{}, logger, writer)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return errors.Join(in.Run(ctx, hangups), writer.Close())
}
