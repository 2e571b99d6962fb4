package tasks

import (
	"io"
	"strings"
)

// maxLibraryText is the maximum length of a line of a library, which may quote input from a peer.
const maxLibraryText = 120

// servingPanic begins the line that net/http logs when it has recovered a panic of a request's handler.
const servingPanic = "http: panic serving "

// libraryLog is the output of LibraryLog.
type libraryLog struct{ mo *Monitor }

// LibraryLog returns an output for the standard logger, to which net/http reports connection errors and panics in requests.
// The standard logger writes to standard error by itself, which may block.
func (mo *Monitor) LibraryLog() io.Writer { return libraryLog{mo} }

// Write implements io.Writer.
func (ll libraryLog) Write(line []byte) (int, error) {
	text := string(line)
	if value, found := strings.CutPrefix(text, servingPanic); found {
		value, stack, _ := strings.Cut(value, "\n")
		ll.mo.panicked("request", value, []byte(stack))
		return len(line), nil
	}
	text = strings.TrimSpace(text[:min(len(text), maxLibraryText)])
	ll.mo.log.Warn().Str("Library", text).Msg("net/http reported a connection error")
	return len(line), nil
}
