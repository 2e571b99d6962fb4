package relay

import (
	"strings"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// libraryLog takes the lines of the standard logger.
type libraryLog struct{ to *log.Logger }

// maxLibraryLine bounds one of them; they may quote what a peer sent.
const maxLibraryLine = 120

// Write implements io.Writer.
func (ll libraryLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryLine)]))
	ll.to.Warn().Str("Library", text).Msg("connection odd")
	return len(line), nil
}

// logLine writes one decision.
func (in *Instance) logLine(line steer.Line) {
	in.count("Decisions.Count." + line.Message)
	entry := in.log.Info()
	text(entry, "Request", line.Request)
	text(entry, "Replica", line.Replica)
	text(entry, "Reason", string(line.Reason))
	if line.Attempt > 0 {
		entry.Int("Attempt", line.Attempt)
	}
	if len(line.Helpers) > 0 {
		entry.Strs("Helpers", line.Helpers)
	}
	if line.Tokens > 0 {
		entry.Int64("Tokens", line.Tokens)
	}
	if line.Age > 0 {
		entry.Int64("AgeMs", line.Age.Milliseconds())
	}
	if line.Estimate > 0 {
		entry.Int64("EstimateMs", line.Estimate.Milliseconds())
	}
	entry.Msg(line.Message)
}

func text(entry *log.Entry, key, value string) {
	if value != "" {
		entry.Str(key, value)
	}
}
