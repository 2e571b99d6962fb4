package relay

import (
	"math"
	"strconv"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// withPosition adds a position to a line.
func withPosition(entry *log.Entry, at posit.Position) *log.Entry {
	return entry.Int64("Era", at.Era).Int64("Revision", at.Revision)
}

// logDecision logs one decision of the reducer and counts it.
func (in *Instance) logDecision(line steer.LogLine) {
	in.count("Decisions.Count." + line.Message)
	entry := in.log.Info()
	addString(entry, "Request", line.Request)
	addString(entry, "Replica", line.Replica)
	addString(entry, "Reason", string(line.Reason))
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
	if line.Times > 0 {
		entry.Float64("Times", math.Round(line.Times*100)/100)
	}
	if line.PerS > 0 {
		entry.Float64("PerS", line.PerS)
	}
	addString(entry, "Announcement", line.Announcement)
	addString(entry, "Source", line.Source)
	addString(entry, "Reporter", line.Reporter)
	addString(entry, "Service", line.Service)
	addString(entry, "FailureDomain", line.FailureDomain)
	addString(entry, "Organisation", line.Organisation)
	addString(entry, "Via", line.Via)
	addString(entry, "Invalid", line.Invalid)
	addString(entry, "Cause", line.Cause)
	if line.At != (posit.Position{}) {
		withPosition(entry, line.At)
	}
	if line.Replicas > 0 {
		entry.Int("Replicas", line.Replicas)
	}
	addString(entry, "Send", line.Send)
	if len(line.FailureDomains) > 0 {
		entry.Strs("FailureDomains", line.FailureDomains)
	}
	if len(line.PassedOver) > 0 {
		entry.Strs("PassedOver", line.PassedOver)
	}
	if line.Content != 0 {
		entry.Str("Content", strconv.FormatUint(uint64(line.Content), 16))
	}
	if len(line.Parts) > 0 {
		entry.Strs("Parts", partNames(line.Parts))
	}
	if line.Crashes > 0 {
		entry.Int("Crashes", line.Crashes)
	}
	if line.Wrote > 0 {
		entry.Int64("WroteMs", line.Wrote.Milliseconds())
	}
	if line.Rest > 0 {
		entry.Int64("RestMs", line.Rest.Milliseconds())
	}
	if line.Status > 0 {
		entry.Int("Status", line.Status)
	}
	addString(entry, "Proof", line.Proof)
	addString(entry, "Ended", line.Ended)
	if line.Silent > 0 {
		entry.Int64("SilentMs", line.Silent.Milliseconds()).Int64("StoodStillMs", line.StoodStill.Milliseconds())
	}
	if line.Budget != nil {
		entry.Float64("Requests", line.Budget.Requests).Float64("Used", line.Budget.Used).
			Float64("Allowed", math.Round(line.Budget.Allowed*10)/10).Int("Instances", line.Budget.Part.Instances)
		addString(entry, "PartReduced", string(line.Budget.Part.Reason))
	}
	if line.End != nil {
		logOutcome(entry, line.End)
	}
	entry.Msg(line.Message)
}

func logOutcome(entry *log.Entry, end *steer.Outcome) {
	addString(entry, "Route", end.Route)
	entry.Float64("Value", math.Round(end.Value*100)/100).Int64("GoalMs", end.Goal.Milliseconds())
	if end.TriedBefore {
		entry.Bool("Back", true)
	}
	if end.First > 0 {
		entry.Int64("FirstMs", end.First.Milliseconds())
	}
	if end.Gap > 0 {
		entry.Int64("GapMs", end.Gap.Milliseconds())
	}
	if end.Pause > 0 {
		entry.Int64("PauseMs", end.Pause.Milliseconds()).Int64("PauseAtMs", end.PauseAt.Milliseconds())
	}
}

// maxPartsLogged is the maximum number of parts that a line names.
const maxPartsLogged = 16

// partNames returns the parts as lines name them.
func partNames(parts []steer.Part) []string {
	names := make([]string, 0, min(len(parts), maxPartsLogged))
	for _, part := range parts[:min(len(parts), maxPartsLogged)] {
		names = append(names, strconv.FormatUint(uint64(part), 16))
	}
	return names
}

func addString(entry *log.Entry, key, value string) {
	if value != "" {
		entry.Str(key, value)
	}
}
