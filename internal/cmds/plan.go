package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

type planCommand struct {
	oper.Options
	Out  string        `long:"out" description:"file to write the plan to, for config patch"`
	Args directoryArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cmd *planCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *planCommand) run(ctx context.Context, client *oper.Client) error {
	patch, operations, err := plan(ctx, client, cmd.Args.Directory)
	if err != nil {
		return err
	}
	if err := cmd.save(patch, len(operations)); err != nil {
		return err
	}
	fmt.Printf("against version %d:\n", patch.Base)
	printOperations(operations)
	return nil
}

func (cmd *planCommand) save(patch conf.Patch, operations int) error {
	if cmd.Out == "" || operations == 0 {
		return nil
	}
	raw, err := json.MarshalIndent(patch, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.Out, append(raw, '\n'), 0o600)
}

// plan compares a directory with the configuration in force. It returns the patch that makes them equal and its operations.
func plan(ctx context.Context, client *oper.Client, directory string) (conf.Patch, []decl.Operation, error) {
	var patch conf.Patch
	dir, err := readDirectory(directory)
	if err != nil {
		return patch, nil, err
	}
	current, err := client.Config(ctx)
	if err != nil {
		return patch, nil, err
	}
	operations, err := decl.Diff(current, dir.Config)
	if err != nil {
		return patch, nil, err
	}
	raw, err := json.Marshal(operations)
	if err != nil {
		return patch, nil, err
	}
	return conf.Patch{ID: rand.Text(), Base: current.Version, Operations: raw}, operations, nil
}
