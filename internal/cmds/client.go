package cmds

import (
	"context"

	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/tool"
)

// withClient runs a command with a client of the operator API. SIGINT or SIGTERM cancels its context.
func withClient(opts oper.Options, run func(ctx context.Context, client *oper.Client) error) error {
	client, err := oper.New(opts)
	if err != nil {
		return tool.Usage(err)
	}
	defer client.Close()
	ctx, stop := tool.Context()
	defer stop()
	return run(ctx, client)
}
