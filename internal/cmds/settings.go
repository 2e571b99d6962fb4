package cmds

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"dandelionsail.example/dandelionsail/internal/tool"
)

// Marks between which the table of settings stands in a page.
const (
	settingsBegin = "<!-- table of settings: written by dandelionsail settings --page docs/OPERATIONS.md -->\n"
	settingsEnd   = "<!-- end of settings -->\n"
)

type settingsCommand struct {
	Page string `long:"page" description:"page whose table is written anew; empty prints the table"`
}

// Execute implements flags.Commander.
func (cmd *settingsCommand) Execute(_ []string) error {
	if cmd.Page == "" {
		fmt.Print(settingsTable())
		return nil
	}
	raw, err := os.ReadFile(cmd.Page)
	if err != nil {
		return tool.Usage(err)
	}
	page, ok := withSettings(string(raw))
	if !ok {
		return tool.Usage(fmt.Errorf("settings: %s lacks the marks of the table; put them back", cmd.Page))
	}
	return os.WriteFile(cmd.Page, []byte(page), 0o644)
}

// withSettings returns the page with the table between its marks.
func withSettings(page string) (string, bool) {
	before, rest, found := strings.Cut(page, settingsBegin)
	_, after, closed := strings.Cut(rest, settingsEnd)
	return before + settingsBegin + settingsTable() + settingsEnd + after, found && closed
}

// settingsTable lists the settings of an entry instance.
func settingsTable() string {
	parser := flags.NewParser(&entryCommand{}, flags.None)
	var table strings.Builder
	table.WriteString("| Flag | Variable | Default | Meaning |\n| --- | --- | --- | --- |\n")
	writeSettings(&table, parser.Group)
	return table.String()
}

func writeSettings(table *strings.Builder, group *flags.Group) {
	for _, option := range group.Options() {
		preset := strings.Join(option.Default, ", ")
		if option.Required {
			preset = "required"
		}
		fmt.Fprintf(table, "| `--%s` | `%s` | %s | %s |\n", option.LongName, option.EnvDefaultKey, preset, option.Description)
	}
	for _, inner := range group.Groups() {
		writeSettings(table, inner)
	}
}
