package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/tool"
)

// Retries of a patch after an Unreachable error.
const (
	patchAttempts   = 5
	patchRetryDelay = time.Second
)

type patchCommand struct {
	oper.Options
	Args struct {
		Source string `positional-arg-name:"SOURCE" description:"directory of declarations, or a plan saved by config plan --out"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cmd *patchCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *patchCommand) run(ctx context.Context, client *oper.Client) error {
	patch, err := cmd.read(ctx, client)
	if err != nil {
		return err
	}
	if len(patch.Operations) == 0 || string(patch.Operations) == "null" {
		fmt.Printf("no changes; version %d stays in force\n", patch.Base)
		return nil
	}
	version, err := submit(ctx, client, patch)
	if errorx.IsOfType(err, oper.Stale) {
		return reportConflict(ctx, client, patch, err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("accepted as version %d\n", version)
	return nil
}

func (cmd *patchCommand) read(ctx context.Context, client *oper.Client) (conf.Patch, error) {
	info, err := os.Stat(cmd.Args.Source)
	if err != nil {
		return conf.Patch{}, tool.Usage(err)
	}
	if info.IsDir() {
		patch, _, err := plan(ctx, client, cmd.Args.Source)
		return patch, err
	}
	raw, err := os.ReadFile(cmd.Args.Source)
	if err != nil {
		return conf.Patch{}, tool.Usage(err)
	}
	var patch conf.Patch
	if err := json.Unmarshal(raw, &patch); err != nil {
		return conf.Patch{}, tool.Usage(fmt.Errorf("%s is not a saved plan; write one with config plan --out: %w", cmd.Args.Source, err))
	}
	return patch, nil
}

// submit sends the patch and retries it after an Unreachable error, when the answer may have been lost. A retry has the same
// ID, so that the patch is applied only once.
func submit(ctx context.Context, client *oper.Client, patch conf.Patch) (int64, error) {
	for attempt := 1; ; attempt++ {
		version, err := client.Submit(ctx, patch)
		if !errorx.IsOfType(err, oper.Unreachable) || attempt == patchAttempts {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(patchRetryDelay):
		}
	}
}

// reportConflict prints the patches that were accepted since the version on which the patch is based. It returns the error
// with the exit code of a conflict.
func reportConflict(ctx context.Context, client *oper.Client, patch conf.Patch, stale error) error {
	fmt.Fprintln(os.Stderr, "since version", patch.Base)
	since, err := client.History(ctx, patch.Base)
	if err == nil {
		for i, other := range since {
			writePatch(os.Stderr, patch.Base+1+int64(i), other)
		}
	}
	return &tool.CodedError{Code: tool.ExitConflict, Err: stale}
}
