package cmds

import (
	"encoding/json"
	"os"

	"sigs.k8s.io/yaml"

	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type getCommand struct {
	oper.Options
	JSON bool `long:"json" description:"print JSON instead of YAML"`
}

// Execute implements flags.Commander.
func (cmd *getCommand) Execute(_ []string) error {
	client, err := oper.New(cmd.Options)
	if err != nil {
		return tool.Usage(err)
	}
	defer client.Close()
	ctx, stop := tool.Context()
	defer stop()
	cfg, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(cfg)
	}
	raw, err := yaml.Marshal(cfg)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(raw)
	return err
}
