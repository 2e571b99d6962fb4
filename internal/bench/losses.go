package bench

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/loss"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type lossesCommand struct {
	Span time.Duration `long:"span" description:"length of the time spans in the report" default:"2s"`
	JSON string        `long:"json" description:"file to write every loss to as JSON; empty writes none"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" required:"1" description:"log of one instance, named after it, or of several whose lines begin with the instance's name; - reads the standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cmd *lossesCommand) Execute(_ []string) error {
	if cmd.Span <= 0 {
		return tool.Usage(loss.Unreadable.New("bench: --span is %s; give more than 0s", cmd.Span))
	}
	var logs loss.Logs
	for _, path := range cmd.Args.Logs {
		if err := readLog(&logs, path); err != nil {
			return err
		}
	}
	rp := logs.Report()
	rp.Write(os.Stdout, cmd.Span)
	return writeJSON(cmd.JSON, rp)
}

func readLog(logs *loss.Logs, path string) error {
	if path == "-" {
		return logs.Read("instance", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return loss.Unreadable.Wrap(err, "bench: cannot open the log %s; give the path of a readable file", path)
	}
	defer func() { _ = file.Close() }()
	return logs.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
}
