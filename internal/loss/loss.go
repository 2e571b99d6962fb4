// Package loss finds from the logs of the instances why worth was lost. It assigns each request that was not answered in
// time to one cause.
package loss

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Cause is why a request lost worth.
type Cause string

// The causes. Each request that was not answered in time has exactly one.
const (
	// CauseQueued is a late first event that was already estimated to be late when the request was sent, after too long a
	// wait in the Instance's queue.
	CauseQueued Cause = "waited here"
	// CauseEngine is a first event that came later than estimated, without an attempt that overtook the request.
	CauseEngine Cause = "waited at the engine"
	// CauseOvertaken is a first event that came later than estimated, after its engines got parts of other prompts, which
	// they prefill first.
	CauseOvertaken Cause = "passed by later parts"
	// CausePausedByRead is a pause during which the engine got other prompts to prefill.
	CausePausedByRead Cause = "paused by a read"
	// CausePaused is a pause without such a prompt.
	CausePaused Cause = "paused without a read"
	// CauseRepeated is a late answer that took several attempts.
	CauseRepeated Cause = "repeated"
	// CauseLateRetry is a late answer to a caller that was refused before and retried too late to be in time.
	CauseLateRetry Cause = "back from a try before"
	// CauseRefused is a refusal of a caller's first request.
	CauseRefused Cause = "refused"
	// CauseRefusedAgain is a refusal of a caller that retried.
	CauseRefusedAgain Cause = "refused again"
	// CauseCallerLeft is a caller that cancelled its request.
	CauseCallerLeft Cause = "caller left"
	// CauseFailed is a failure of the upstream, or a deadline that passed after the answer began.
	CauseFailed Cause = "failed"
	// CauseInstanceStopped is a request that was open when its Instance stopped.
	CauseInstanceStopped Cause = "lost with an instance"
	// CauseDeadline is a request for which no replica had room before its deadline.
	CauseDeadline Cause = "no place in time"
)

// lateLossShare is the share of its worth that a late answer loses, as in the default steer.Tuning.
const lateLossShare = 0.75

// Line is one line of an Instance's log. It has the fields of steer.Line that the analysis needs.
type Line struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"message"`
	Request    string
	Replica    string
	Helpers    []string
	Reason     string
	Route      string
	Attempt    int
	AgeMs      int64
	EstimateMs int64
	GoalMs     int64
	FirstMs    int64
	GapMs      int64
	PauseMs    int64
	PauseAtMs  int64
	Value      float64
	Back       bool

	instance string
}

// Loss is one request that was not answered in time.
type Loss struct {
	At       time.Time
	Request  string
	Instance string
	Route    string
	Cause    Cause
	// Worth is the part of the request's worth that was lost.
	Worth float64
}

// Report is the result of the analysis.
type Report struct {
	// Requests is the number of requests that ended or were lost with an Instance.
	Requests int
	// InTime is the number of requests that were answered in time.
	InTime int
	// Worth is the worth of all requests as the Instances valued them.
	Worth float64
	// Lost is the part of Worth that was lost.
	Lost   float64
	Losses []Loss
	// From is when the first request arrived.
	From time.Time
	// Skipped is the number of lines that are not log lines.
	Skipped int
}

// Unreadable is the error type of a log that could not be read to its end.
var Unreadable = errorx.NewNamespace("loss").NewType("unreadable")

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Logs collects the log lines of several Instances.
type Logs struct {
	lines   []Line
	skipped int
}

// Read reads the lines of one log. If there are words before a line's JSON, the last of them is the name of the Instance;
// otherwise name is.
func (lg *Logs) Read(name string, in io.Reader) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		before, text, found := strings.Cut(scan.Text(), "{")
		line := Line{instance: name}
		if words := strings.Fields(before); len(words) > 0 {
			line.instance = words[len(words)-1]
		}
		if !found || json.Unmarshal([]byte("{"+text), &line) != nil || line.Message == "" {
			lg.skipped++
			continue
		}
		lg.lines = append(lg.lines, line)
	}
	if err := scan.Err(); err != nil {
		return Unreadable.Wrap(err, "loss: the log %s cannot be read to its end; give the complete log", name)
	}
	return nil
}

// requestKey identifies a request in the log of an Instance.
type requestKey struct{ instance, request string }

// sentAttempts holds the lines of the attempts that were sent for a request.
type sentAttempts struct {
	sends []Line
}

// Report assigns each request that was not answered in time to a cause.
func (lg *Logs) Report() *Report {
	slices.SortStableFunc(lg.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	rp := &Report{Skipped: lg.skipped}
	open := map[requestKey]*sentAttempts{}
	parts := lg.parts()
	for i := range lg.lines {
		line := &lg.lines[i]
		name := requestKey{line.instance, line.Request}
		switch {
		case line.Message == "started":
			rp.addLost(line.instance, open)
		case line.Route != "":
			rp.addEnded(line, open[name], parts)
			delete(open, name)
		case line.Message == "request sent":
			sa := open[name]
			if sa == nil {
				sa = &sentAttempts{}
				open[name] = sa
			}
			sa.sends = append(sa.sends, *line)
		}
	}
	slices.SortStableFunc(rp.Losses, func(a, b Loss) int { return a.At.Compare(b.At) })
	return rp
}

// part is a prompt, or a share of one, that was sent to an engine for prefill. help marks that another engine answers it.
type part struct {
	at      time.Time
	request string
	help    bool
}

// parts lists what was sent to each replica, in the order of time.
func (lg *Logs) parts() map[string][]part {
	parts := map[string][]part{}
	for i := range lg.lines {
		line := &lg.lines[i]
		if line.Message != "request sent" {
			continue
		}
		parts[line.Replica] = append(parts[line.Replica], part{line.Time, line.Request, false})
		for _, helper := range line.Helpers {
			parts[helper] = append(parts[helper], part{line.Time, line.Request, true})
		}
	}
	return parts
}

// addLost records the open requests of an Instance that started again as lost.
func (rp *Report) addLost(instance string, open map[requestKey]*sentAttempts) {
	for _, name := range slices.SortedFunc(maps.Keys(open), func(a, b requestKey) int { return cmp.Compare(a.request, b.request) }) {
		if name.instance != instance {
			continue
		}
		first := open[name].sends[0]
		at := first.Time.Add(-time.Duration(first.AgeMs) * time.Millisecond)
		rp.Requests++
		// Its worth is logged only when it ends, so it counts with a worth of 0.
		rp.Losses = append(rp.Losses, Loss{At: at, Request: name.request, Instance: instance, Cause: CauseInstanceStopped})
		delete(open, name)
	}
}

// addEnded records a request by the line that ends it.
func (rp *Report) addEnded(line *Line, sa *sentAttempts, parts map[string][]part) {
	at := line.Time.Add(-time.Duration(line.AgeMs) * time.Millisecond)
	if rp.From.IsZero() || at.Before(rp.From) {
		rp.From = at
	}
	rp.Requests++
	rp.Worth += line.Value
	if sa == nil {
		sa = &sentAttempts{}
	}
	cause, share := causeOf(line, sa, at, parts)
	if cause == "" {
		rp.InTime++
		return
	}
	rp.Lost += share * line.Value
	rp.Losses = append(rp.Losses, Loss{At: at, Request: line.Request, Instance: line.instance, Route: line.Route, Cause: cause, Worth: share * line.Value})
}

// causeOf returns why the request lost worth, and which share of it. The cause is empty if the request was answered in
// time.
func causeOf(line *Line, sa *sentAttempts, at time.Time, parts map[string][]part) (Cause, float64) {
	switch line.Message {
	case "caller left":
		return CauseCallerLeft, 1
	case "failure delivered":
		return CauseFailed, 1
	case "request refused":
		return refusalCause(line), 1
	}
	first := line.FirstMs
	if line.GapMs == 0 {
		first = line.AgeMs
	}
	late, paused := first > line.GoalMs, line.GapMs > 0 && line.PauseMs > line.GapMs
	switch {
	case !late && !paused:
		return "", 0
	case len(sa.sends) > 1:
		return CauseRepeated, lateLossShare
	case late:
		return lateCause(line, sa, parts), lateLossShare
	}
	return pauseCause(line, sa, at, parts), lateLossShare
}

func refusalCause(line *Line) Cause {
	switch {
	case line.FirstMs > 0 || line.Reason == "UpstreamFailed":
		return CauseFailed
	case line.Back:
		return CauseRefusedAgain
	case line.Reason == "DeadlineExceeded":
		return CauseDeadline
	}
	return CauseRefused
}

func lateCause(line *Line, sa *sentAttempts, parts map[string][]part) Cause {
	if line.Back {
		return CauseLateRetry
	}
	if len(sa.sends) == 0 {
		return CauseEngine
	}
	sent := &sa.sends[0]
	if sent.AgeMs+sent.EstimateMs > line.GoalMs {
		return CauseQueued
	}
	began := sent.Time.Add(time.Duration(line.FirstMs-sent.AgeMs) * time.Millisecond)
	for _, replica := range append([]string{sent.Replica}, sent.Helpers...) {
		for _, pt := range parts[replica] {
			if pt.help && pt.request != line.Request && pt.at.After(sent.Time) && pt.at.Before(began) {
				return CauseOvertaken
			}
		}
	}
	return CauseEngine
}

// passSpan is how long before a pause a prompt may be sent that is prefilled during it. A pass of an engine takes about
// 50 ms.
const passSpan = 100 * time.Millisecond

func pauseCause(line *Line, sa *sentAttempts, at time.Time, parts map[string][]part) Cause {
	if len(sa.sends) == 0 {
		return CausePaused
	}
	until := at.Add(time.Duration(line.PauseAtMs) * time.Millisecond)
	from := until.Add(-time.Duration(line.PauseMs)*time.Millisecond - passSpan)
	for _, pt := range parts[sa.sends[0].Replica] {
		if pt.request != line.Request && pt.at.After(from) && pt.at.Before(until) {
			return CausePausedByRead
		}
	}
	return CausePaused
}
