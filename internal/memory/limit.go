package memory

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/joomcode/errorx"
)

// BadSize reports a setting that is no size.
var BadSize = errorx.NewNamespace("memory").NewType("bad_size")

// Limit is how many bytes of memory the process may use, 0 if there is no limit.
type Limit int64

const (
	// MB is the unit of the setting. The smaller of the two usual readings is the safe one.
	MB = 1_000_000
	// machine is the text of the setting that stands for the memory of the machine.
	machine = "machine"
	// DefaultMB is the Limit in MB if the setting is empty.
	DefaultMB = 256
	// fixedBytes is what a process takes without holding anything for callers: its program, its state of the deployment and its stacks.
	fixedBytes = 40 * MB
	// boundShare is the share of the rest that may be held for callers. What remains is for garbage, since the collector lets the heap grow
	// by 40% before it runs, and for bytes that the kernel has received and nobody has read.
	boundShare = 0.6
	// minBoundShare is the minimum share of the Limit that may be held for callers, for Limits near fixedBytes.
	minBoundShare = 0.125
	// runtimeShare is the share of the Limit from which on the runtime collects garbage early. The bytes held and fixedBytes are less, so that
	// the collector always finds something to free. The runtime does not count the program's text and what the kernel holds.
	runtimeShare = 0.8
	// textBytes is what the program's text takes. Of the rest, the runtime gets heapShare, and the kernel what remains.
	textBytes, heapShare = 32 * MB, 0.85
	// minRuntimeShare is the minimum share of the Limit for the runtime, for Limits near textBytes.
	minRuntimeShare = 0.5
)

// UnmarshalFlag sets the limit from a number in MB. An empty text, as of a platform that states no limit, means the default, and "machine" the memory
// of the machine. It implements flags.Unmarshaler.
func (lim *Limit) UnmarshalFlag(text string) error {
	if text == "" {
		*lim = DefaultMB * MB
		return nil
	}
	if text == machine {
		*lim = machineMemory()
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number != 0 && number < 1 || number > math.MaxInt64/MB {
		return BadSize.New("memory: %q is no amount of memory; give a number in MB such as 256, or 0 for no limit", text)
	}
	*lim = Limit(number * MB)
	return nil
}

// machineMemory returns the memory of the machine, or the default if the system does not state it.
func machineMemory() Limit {
	raw, _ := os.ReadFile("/proc/meminfo")
	var kilobytes int64
	if _, err := fmt.Sscanf(string(raw), "MemTotal: %d kB", &kilobytes); err != nil || kilobytes <= 0 {
		return DefaultMB * MB
	}
	return Limit(kilobytes << 10)
}

// Bound returns how many bytes may be held for callers, 0 if there is no bound.
func (lim Limit) Bound() int64 {
	return int64(max(boundShare*float64(lim-fixedBytes), minBoundShare*float64(lim)))
}

// Apply tells the runtime the limit, so that it collects garbage before the process exceeds it.
func (lim Limit) Apply() {
	if lim > 0 {
		debug.SetMemoryLimit(int64(max(minRuntimeShare*float64(lim), min(runtimeShare*float64(lim), heapShare*float64(lim-textBytes)))))
	}
}
