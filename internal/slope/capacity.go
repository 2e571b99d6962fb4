package slope

import (
	"fmt"
	"io"
	"strings"
)

// Target is the deployment size to extrapolate to, with the budgets of one Instance's control functions and of the store.
type Target struct {
	Instances         float64
	Replicas          float64
	Models            float64
	Organisations     float64
	FailureDomains    float64
	RequestsPerSecond float64
	LongShare         float64
	PatchesPerDay     float64
	// CoreShare is the share of a core that control functions of an Instance may use.
	CoreShare float64
	// MemoryBytes is the memory that they may use.
	MemoryBytes float64
	// BytesPerSecond is the network traffic that they may use.
	BytesPerSecond float64
	// StoreWrites is the number of writes per second that the platform's key-value service handles.
	StoreWrites float64
	// StoreReads is the number of reads per second that it handles.
	StoreReads float64
}

// DesignTarget returns the size for which the system is designed.
func DesignTarget() Target {
	return Target{
		Instances:         430,
		Replicas:          12000,
		Models:            40,
		Organisations:     1700,
		FailureDomains:    7,
		RequestsPerSecond: 17000,
		LongShare:         0.02,
		PatchesPerDay:     46000,
		CoreShare:         0.016,
		MemoryBytes:       256e6,
		BytesPerSecond:    3000,
		StoreWrites:       300,
		StoreReads:        2000,
	}
}

const secondsPerDay = 86400

// PatchRate returns the number of patches per second.
func (tg Target) PatchRate() float64 {
	return tg.PatchesPerDay / secondsPerDay
}

// RequestRate returns the number of requests per second of one Instance.
func (tg Target) RequestRate() float64 {
	return tg.RequestsPerSecond / tg.Instances
}

// PoolReplicas returns the number of replicas of one model in one FailureDomain.
func (tg Target) PoolReplicas() float64 {
	return tg.Replicas / tg.Models / tg.FailureDomains
}

// PoolsPerInstance returns the mean number of pools that an Instance coordinates.
func (tg Target) PoolsPerInstance() float64 {
	return tg.Models * tg.FailureDomains / tg.Instances
}

// PermitRate returns the number of permits per second that an Instance requests. On average it grants as many as a
// coordinator.
func (tg Target) PermitRate() float64 {
	return tg.RequestRate() * tg.LongShare
}

// Resource is a kind of resource that an item uses.
type Resource string

// The resources.
const (
	Processor Resource = "Processor"
	Memory    Resource = "Memory"
	Network   Resource = "Network"
	Writes    Resource = "Store writes"
	Reads     Resource = "Store reads"
)

// Item is one contribution to the cost of a role.
type Item struct {
	Role     string
	Resource Resource
	What     string
	// Series names the measured series.
	Series string
	// Size is the size at which the series' line is evaluated.
	Size float64
	// Times is the factor on the value: the number of events per second if the series measures one event, otherwise 1.
	Times     float64
	Mechanism string
}

// Cost returns the item's cost at its size and reports whether its series was measured.
func (it Item) Cost(ms *Measured) (float64, bool) {
	sr, err := ms.Find(it.Series)
	if err != nil {
		return 0, false
	}
	value := sr.Fit().At(it.Size) * it.Times
	if it.Resource == Processor && sr.Unit == "ns" {
		value *= 1e-9
	}
	return value, true
}

// format formats a value in the resource's unit.
func (rs Resource) format(value float64) string {
	switch rs {
	case Processor:
		return fmt.Sprintf("%.3f%% of a core", 100*value)
	case Memory:
		return fmt.Sprintf("%.2f MB", value/1e6)
	case Network:
		return fmt.Sprintf("%.0f B/s", value)
	default:
		return fmt.Sprintf("%.1f /s", value)
	}
}

// budget returns the target's budget for the resource.
func (tg Target) budget(rs Resource) float64 {
	switch rs {
	case Processor:
		return tg.CoreShare
	case Memory:
		return tg.MemoryBytes
	case Network:
		return tg.BytesPerSecond
	case Writes:
		return tg.StoreWrites
	default:
		return tg.StoreReads
	}
}

// WriteTables writes a Markdown table for each role, followed by the totals and their share of the budgets.
func WriteTables(out io.Writer, tg Target, items []Item, ms *Measured) error {
	for _, role := range roles(items) {
		fmt.Fprintf(out, "### %s\n\n| Resource | What | At full size | Mechanism | Command |\n| --- | --- | --- | --- | --- |\n", role)
		for _, it := range items {
			if it.Role != role {
				continue
			}
			if _, err := fmt.Fprintln(out, it.row(ms)); err != nil {
				return err
			}
		}
		fmt.Fprintln(out)
		writeSums(out, tg, role, items, ms)
	}
	return nil
}

func (it Item) row(ms *Measured) string {
	cost, ok := it.Cost(ms)
	if !ok {
		return fmt.Sprintf("| %s | %s | not measured | %s | |", it.Resource, it.What, it.Mechanism)
	}
	sr, _ := ms.Find(it.Series)
	return fmt.Sprintf("| %s | %s | %s | %s | `%s` |", it.Resource, it.What, it.Resource.format(cost), it.Mechanism, sr.Command)
}

func roles(items []Item) []string {
	var names []string
	seen := map[string]bool{}
	for _, it := range items {
		if !seen[it.Role] {
			seen[it.Role] = true
			names = append(names, it.Role)
		}
	}
	return names
}

func writeSums(out io.Writer, tg Target, role string, items []Item, ms *Measured) {
	var parts []string
	for _, rs := range []Resource{Processor, Memory, Network, Writes, Reads} {
		sum, found, missing := sumOf(role, rs, items, ms)
		if !found {
			continue
		}
		budget := tg.budget(rs)
		part := fmt.Sprintf("%s %s, %.0f%% of %s", strings.ToLower(string(rs)), rs.format(sum), 100*sum/budget, rs.format(budget))
		if missing > 0 {
			part += fmt.Sprintf(" (%d parts not measured)", missing)
		}
		parts = append(parts, part)
	}
	fmt.Fprintf(out, "Together: %s.\n\n", strings.Join(parts, "; "))
}

func sumOf(role string, rs Resource, items []Item, ms *Measured) (sum float64, found bool, missing int) {
	for _, it := range items {
		if it.Role != role || it.Resource != rs {
			continue
		}
		cost, ok := it.Cost(ms)
		if !ok {
			missing++
			continue
		}
		found = true
		sum += cost
	}
	return sum, found, missing
}
