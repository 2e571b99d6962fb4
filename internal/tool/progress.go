package tool

import (
	"fmt"
	"os"
)

// Progress returns a function that shows a line of progress on a terminal and nothing in a pipe.
func Progress() func(done string) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(done string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", done) }
}
