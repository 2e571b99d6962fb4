package bench

import (
	"context"
	"fmt"
	"time"

	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type serviceCommand struct {
	standinOptions
	Delay time.Duration `long:"delay" description:"duration of one call" default:"5ms"`
}

// Execute implements flags.Commander.
func (cmd *serviceCommand) Execute(_ []string) error {
	if err := cmd.check(); err != nil {
		return err
	}
	if cmd.Delay < 0 {
		return tool.Usage(fmt.Errorf("bench: --delay is %s; give 0s or more", cmd.Delay))
	}
	service := stand.NewService(cmd.Delay)
	service.Announce(cmd.announcements())
	return serve(cmd.Listen, service.Handler(), cmd.register, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
}
