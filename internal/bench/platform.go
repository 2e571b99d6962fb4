package bench

import (
	"fmt"
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type platformCommand struct {
	Listen string        `long:"listen" env:"SAILBENCH_LISTEN" description:"address, host:port; port 0 picks a free one" default:"127.0.0.1:0"`
	Lag    time.Duration `long:"list-lag" description:"delay after which the instance list shows a change" default:"1s"`
	Writes float64       `long:"writes" description:"writes per second above which the key-value service refuses; 0 sets no limit" default:"0"`
	Reads  float64       `long:"reads" description:"reads per second above which the key-value service refuses; 0 sets no limit" default:"0"`
}

// Execute implements flags.Commander.
func (cmd *platformCommand) Execute(_ []string) error {
	if _, _, err := net.SplitHostPort(cmd.Listen); err != nil {
		return tool.Usage(fmt.Errorf("bench: --listen is %q; give host:port", cmd.Listen))
	}
	if cmd.Lag < 0 {
		return tool.Usage(fmt.Errorf("bench: --list-lag is %s; give 0s or more", cmd.Lag))
	}
	if cmd.Writes < 0 || cmd.Reads < 0 {
		return tool.Usage(fmt.Errorf("bench: --writes is %g and --reads is %g; give 0 or more", cmd.Writes, cmd.Reads))
	}
	platform := stand.NewPlatform(cmd.Lag)
	platform.KV = stand.NewKV(stand.Rates{Writes: cmd.Writes, Reads: cmd.Reads})
	return serve(cmd.Listen, platform.Handler(), func(string) error { return nil }, platform.Run)
}
