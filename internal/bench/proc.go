package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second in which /proc counts CPU time.
const ticksPerSecond = 100

// processorTime returns the CPU time that a process has used, user and system together.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the process name in parentheses, which may contain spaces. User and system time are fields 14 and 15
	// of the line, the 12th and 13th after the name.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("bench: /proc/%d/stat has an unknown format", pid)
	}
	var ticks int64
	for _, field := range fields[11:13] {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("bench: /proc/%d/statm has an unknown format", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
