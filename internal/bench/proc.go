package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the kernel's unit of processor time in /proc, a second's part.
const clockTicks = 100

// processorTime returns what a process has used so far, user and system together.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in brackets may hold spaces; user and system time are fields 14 and 15, the 12th and 13th behind it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("bench: /proc/%d/stat has an unknown form", pid)
	}
	var ticks int64
	for _, field := range fields[11:13] {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// residentBytes returns the memory that a process keeps in RAM.
func residentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("bench: /proc/%d/statm has an unknown form", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
