package cmds

import (
	"encoding/json"
	"os"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

type schemaCommand struct{}

// Execute implements flags.Commander.
func (cmd *schemaCommand) Execute(_ []string) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetEscapeHTML(true)
	encoder.SetIndent("", "  ")
	return encoder.Encode(decl.NewSchema())
}
