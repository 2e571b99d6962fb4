package tool

import (
	"fmt"
	"os"
)

// Progress returns a function that replaces the progress line on standard error. It writes nothing if standard error is not
// a terminal.
func Progress() func(status string) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(status string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", status) }
}
