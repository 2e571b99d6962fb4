package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

type historyCommand struct {
	oper.Options
	After int64 `long:"after" description:"list only the patches that follow this version"`
	JSON  bool  `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (cmd *historyCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *historyCommand) run(ctx context.Context, client *oper.Client) error {
	patches, err := client.History(ctx, cmd.After)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return json.NewEncoder(os.Stdout).Encode(patches)
	}
	for _, patch := range patches {
		writePatch(os.Stdout, patch.Base+1, patch)
	}
	return nil
}

// writePatch prints the author and time of a patch, followed by one line for each operation. Operations that do not parse
// are left out.
func writePatch(out io.Writer, version int64, patch conf.Patch) {
	fmt.Fprintf(out, "version %d by %s at %s (patch %s)\n", version, patch.Author, patch.At.Format(time.RFC3339), patch.ID)
	var operations []decl.Operation
	if json.Unmarshal(patch.Operations, &operations) != nil {
		return
	}
	for _, op := range operations {
		fmt.Fprintf(out, "  %s %s\n", op.Op, op.Path)
	}
}
