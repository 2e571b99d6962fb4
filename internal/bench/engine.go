package bench

import (
	"fmt"
	"time"

	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type engineCommand struct {
	standinOptions
	Model        string        `long:"model" description:"model the engine offers" default:"lyric"`
	MemoryTokens int64         `long:"memory-tokens" description:"tokens the KV memory holds" default:"400000"`
	Step         time.Duration `long:"step" description:"time of one step of the batch" default:"20ms"`
	PrefillChunk int64         `long:"prefill-chunk" description:"prompt tokens prefilled in one step" default:"400"`
	MaxBatch     int           `long:"max-batch" description:"requests that run at once" default:"32"`
}

// Execute implements flags.Commander.
func (cmd *engineCommand) Execute(_ []string) error {
	if err := cmd.check(); err != nil {
		return err
	}
	if cmd.Step <= 0 || cmd.MemoryTokens <= 0 || cmd.PrefillChunk <= 0 || cmd.MaxBatch <= 0 {
		return tool.Usage(fmt.Errorf("bench: --step, --memory-tokens, --prefill-chunk and --max-batch must be above 0"))
	}
	opts := stand.DefaultEngine()
	opts.Model = cmd.Model
	opts.MemoryTokens = cmd.MemoryTokens
	opts.Step = cmd.Step
	opts.PrefillChunk = cmd.PrefillChunk
	opts.MaxBatch = cmd.MaxBatch
	engine := stand.NewEngine(opts)
	return serve(cmd.Listen, engine.Handler(), cmd.register, engine.Run)
}
