package bench

import (
	"fmt"
	"os"
	"time"

	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
)

// exitCrashed is the exit status of an engine that a prompt crashed.
const exitCrashed = 3

type engineCommand struct {
	standinOptions
	Model           string        `long:"model" description:"model that the engine serves" default:"lyric"`
	MemoryTokens    int64         `long:"memory-tokens" description:"capacity of the KV cache in tokens" default:"400000"`
	Step            time.Duration `long:"step" description:"duration of one batch step" default:"20ms"`
	PrefillChunk    int64         `long:"prefill-chunk" description:"token budget of one step" default:"400"`
	AttentionTokens int64         `long:"attention-tokens" description:"position at which a prompt token costs twice as much; 0 for equal cost" default:"0"`
	MaxBatch        int           `long:"max-batch" description:"maximum number of requests that run at once" default:"32"`
	MaxWaiting      int           `long:"max-waiting" description:"maximum number of waiting requests; more are refused" default:"256"`
	ReportLag       time.Duration `long:"report-lag" description:"age of a load report" default:"200ms"`
	CacheLag        time.Duration `long:"cache-lag" description:"delay of cache events" default:"300ms"`
	CacheGap        float64       `long:"cache-gap" description:"share of cache event batches that are lost" default:"0"`
	Scale           float64       `long:"scale" description:"factor by which the engine runs faster than real time" default:"1"`
	CheckFencing    bool          `long:"check-fencing" description:"refuse orders with an old fencing number"`
	LoadTime        time.Duration `long:"load-time" description:"time to load a model without a weight store" default:"2s"`
	Weights         string        `long:"weights" description:"address of the weight store; empty for none"`
	Seed            uint64        `long:"seed" description:"seed of lost cache event batches and random faults" default:"1"`
}

// Execute implements flags.Commander.
func (cmd *engineCommand) Execute(_ []string) error {
	if err := cmd.check(); err != nil {
		return err
	}
	if cmd.Step <= 0 || cmd.MemoryTokens <= 0 || cmd.PrefillChunk <= 0 || cmd.MaxBatch <= 0 || cmd.Scale <= 0 {
		return tool.Usage(fmt.Errorf("bench: --step, --memory-tokens, --prefill-chunk, --max-batch and --scale must be above 0"))
	}
	if cmd.CacheGap < 0 || cmd.CacheGap > 1 {
		return tool.Usage(fmt.Errorf("bench: --cache-gap is %g; give a share from 0 to 1", cmd.CacheGap))
	}
	engine := stand.NewEngine(cmd.options())
	engine.Announce(cmd.announcements())
	return serve(cmd.Listen, engine.Handler(), cmd.register, engine.Run)
}

func (cmd *engineCommand) options() stand.EngineOptions {
	opts := stand.DefaultEngineOptions()
	opts.Model = cmd.Model
	opts.MemoryTokens = cmd.MemoryTokens
	opts.Step = cmd.Step
	opts.PrefillChunk = cmd.PrefillChunk
	opts.AttentionTokens = cmd.AttentionTokens
	opts.MaxBatch = cmd.MaxBatch
	opts.MaxWaiting = cmd.MaxWaiting
	opts.ReportLag = cmd.ReportLag
	opts.CacheLag = cmd.CacheLag
	opts.CacheGap = cmd.CacheGap
	opts.Scale = cmd.Scale
	opts.CheckFencing = cmd.CheckFencing
	opts.LoadTime = cmd.LoadTime
	opts.Weights = cmd.Weights
	opts.Seed = cmd.Seed
	opts.Crash = func() { os.Exit(exitCrashed) }
	return opts
}
