package bench

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"dandelionsail.example/dandelionsail/internal/slope"
)

// Markers between which the tables stand in the page.
const (
	tablesBegin = "<!-- tables: written by sailbench slopes table -->\n"
	tablesEnd   = "<!-- end of tables -->\n"
)

type tableCommand struct {
	In  string `long:"in" description:"file of measurements" default:"docs/capacity/measured.json"`
	Out string `long:"out" description:"page whose tables are replaced" default:"docs/CAPACITY.md"`
}

// Execute implements flags.Commander.
func (cmd *tableCommand) Execute(_ []string) error {
	ms, err := slope.Read(cmd.In)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(cmd.Out)
	if err != nil {
		return fmt.Errorf("bench: --out %s cannot be read; check the path and its permissions: %w", cmd.Out, err)
	}
	before, rest, found := strings.Cut(string(page), tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return fmt.Errorf("bench: %s lacks the markers of the tables; put back %q and %q", cmd.Out, tablesBegin, tablesEnd)
	}
	var tables bytes.Buffer
	fmt.Fprintf(&tables, "Measured on %s.\n\n", ms.Machine)
	if err := slope.WriteTables(&tables, slope.DesignTarget(), slope.Items(slope.DesignTarget()), &ms); err != nil {
		return err
	}
	return os.WriteFile(cmd.Out, []byte(before+tablesBegin+tables.String()+tablesEnd+after), 0o644)
}
