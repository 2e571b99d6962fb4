package cmds

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"dandelionsail.example/dandelionsail/internal/tool"
)

// table is a table of the settings of one command, which stands in a page between its two markers.
type table struct {
	begin, end string
	command    any
}

var settingsTables = []table{
	{
		"<!-- table of settings: written by dandelionsail settings --page docs/OPERATIONS.md -->\n", "<!-- end of settings -->\n",
		&entryCommand{},
	},
	{
		"<!-- table of relay settings: written by dandelionsail settings --page docs/OPERATIONS.md -->\n", "<!-- end of relay settings -->\n",
		&relayCommand{},
	},
}

type settingsCommand struct {
	Page string `long:"page" description:"page whose tables are replaced; empty prints the tables"`
}

// Execute implements flags.Commander.
func (cmd *settingsCommand) Execute(_ []string) error {
	if cmd.Page == "" {
		for _, tb := range settingsTables {
			fmt.Println(tb.text())
		}
		return nil
	}
	raw, err := os.ReadFile(cmd.Page)
	if err != nil {
		return tool.Usage(err)
	}
	page, ok := withSettings(string(raw))
	if !ok {
		return tool.Usage(fmt.Errorf("settings: %s lacks the markers of a table; put them back", cmd.Page))
	}
	return os.WriteFile(cmd.Page, []byte(page), 0o644)
}

// withSettings replaces the text between the markers of each table and returns the page. It reports false if a marker is
// missing.
func withSettings(page string) (string, bool) {
	for _, tb := range settingsTables {
		before, rest, found := strings.Cut(page, tb.begin)
		_, after, closed := strings.Cut(rest, tb.end)
		if !found || !closed {
			return page, false
		}
		page = before + tb.begin + tb.text() + tb.end + after
	}
	return page, true
}

// text returns the table in Markdown, with one row for each setting of the command.
func (tb *table) text() string {
	parser := flags.NewParser(tb.command, flags.None)
	var text strings.Builder
	text.WriteString("| Flag | Variable | Default | Meaning |\n| --- | --- | --- | --- |\n")
	writeSettings(&text, parser.Group)
	return text.String()
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
