package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/report"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type reportCommand struct {
	oper.Options
	Format string `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"format of the report"`
	Out    string `long:"out" description:"file to write; empty writes to standard output"`
}

// Execute implements flags.Commander.
func (cmd *reportCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *reportCommand) run(ctx context.Context, client *oper.Client) error {
	rp, err := client.FleetReport(ctx)
	if err != nil {
		return err
	}
	if cmd.Out == "" {
		return cmd.write(os.Stdout, rp)
	}
	file, err := os.Create(cmd.Out)
	if err != nil {
		return tool.Usage(fmt.Errorf("report: --out %s cannot be written; check the path and its permissions: %w", cmd.Out, err))
	}
	if err := cmd.write(file, rp); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (cmd *reportCommand) write(out io.Writer, rp meter.Report) error {
	switch cmd.Format {
	case "json":
		return json.NewEncoder(out).Encode(rp)
	case "html":
		return report.HTML(out, rp)
	default:
		return report.Text(out, rp)
	}
}
