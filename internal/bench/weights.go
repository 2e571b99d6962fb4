package bench

import (
	"context"
	"fmt"
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type weightsCommand struct {
	Listen string        `long:"listen" env:"SAILBENCH_LISTEN" description:"address, host:port; port 0 picks a free one" default:"127.0.0.1:0"`
	Rate   float64       `long:"loads-per-minute" description:"loads per minute above which the store refuses; 0 sets no limit" default:"30"`
	Time   time.Duration `long:"load-time" description:"duration of one load" default:"500ms"`
}

// Execute implements flags.Commander.
func (cmd *weightsCommand) Execute(_ []string) error {
	if _, _, err := net.SplitHostPort(cmd.Listen); err != nil {
		return tool.Usage(fmt.Errorf("bench: --listen is %q; give host:port", cmd.Listen))
	}
	if cmd.Rate < 0 || cmd.Time < 0 {
		return tool.Usage(fmt.Errorf("bench: --loads-per-minute is %g and --load-time is %s; give 0 or more", cmd.Rate, cmd.Time))
	}
	weights := stand.NewWeights(cmd.Rate, cmd.Time)
	return serve(cmd.Listen, weights.Handler(), func(string) error { return nil }, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
}
