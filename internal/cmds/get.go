package cmds

import (
	"context"
	"encoding/json"
	"os"

	"sigs.k8s.io/yaml"

	"dandelionsail.example/dandelionsail/internal/oper"
)

// getCommand prints the configuration in force at an instance.
type getCommand struct {
	oper.Options
	JSON bool `long:"json" description:"print JSON instead of YAML"`
}

// Execute implements flags.Commander.
func (cmd *getCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *getCommand) run(ctx context.Context, client *oper.Client) error {
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
