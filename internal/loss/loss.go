// Package loss tells from the instances' logs where worth was lost: each request that was not answered in time is given to
// one cause.
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

// The causes, one for each request that was not answered in time.
const (
	// CauseWaited is a first event that was reckoned to be late when the request was sent: it had waited here for too long.
	CauseWaited Cause = "waited here"
	// CauseEngine is a first event that came later than was reckoned, CausePassed one before whose reading its engines
	// got parts of other prompts, which they read first.
	CauseEngine Cause = "waited at the engine"
	CausePassed Cause = "passed by later parts"
	// CauseRead is a pause while the engine read other prompts, CauseSilent one without.
	CauseRead   Cause = "paused by a read"
	CauseSilent Cause = "paused without a read"
	// CauseRepeated is an answer that took several attempts.
	CauseRepeated Cause = "repeated"
	// CauseBack is a caller that came back too late to be in time.
	CauseBack Cause = "back from a try before"
	// CauseRefused is a refusal of a first try, CauseAgain one of a caller that had come back.
	CauseRefused Cause = "refused"
	CauseAgain   Cause = "refused again"
	// CauseLeft is a caller that left, CauseFailed a failure of the upstream or a deadline that passed midway.
	CauseLeft   Cause = "caller left"
	CauseFailed Cause = "failed"
	// CauseInstance is a request that was under way at an instance when it ended.
	CauseInstance Cause = "lost with an instance"
	// CauseDeadline is a request that found no replica within its time.
	CauseDeadline Cause = "no place in time"
)

// lateShare is the part of its worth that a late answer loses.
const lateShare = 0.75

// Line is one line of an instance's log, with the fields that matter here. They are those of steer.Line.
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
	// Worth is what was lost of it.
	Worth float64
}

// Report is what the logs say.
type Report struct {
	// Requests counts those that ended or were lost, InTime those that were answered in time.
	Requests, InTime int
	// Worth is that of all requests, as the instances reckoned it; Lost what was lost of it.
	Worth, Lost float64
	Losses      []Loss
	// From is when the first request came.
	From time.Time
	// Skipped counts lines that were no log lines.
	Skipped int
}

// Unreadable is a log that could not be read to its end.
var Unreadable = errorx.NewNamespace("loss").NewType("unreadable")

// maxLine bounds one line.
const maxLine = 1 << 20

// Logs gathers the lines of several instances.
type Logs struct {
	lines   []Line
	skipped int
}

// Read takes the lines of one log. Words before a line's JSON may name the instance, the last of them; without any, name
// does.
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
		return Unreadable.Wrap(err, "loss: the log %s cannot be read to its end; give it whole", name)
	}
	return nil
}

// key names a request at an instance.
type key struct{ instance, request string }

// life is what the logs say of one request.
type life struct {
	sends []Line
}

// Report gives each request that was not answered in time to one cause.
func (lg *Logs) Report() *Report {
	slices.SortStableFunc(lg.lines, func(one, two Line) int { return one.Time.Compare(two.Time) })
	rp := &Report{Skipped: lg.skipped}
	open := map[key]*life{}
	parts := lg.parts()
	for i := range lg.lines {
		line := &lg.lines[i]
		name := key{line.instance, line.Request}
		switch {
		case line.Message == "started":
			rp.lose(line.instance, open)
		case line.Route != "":
			rp.end(line, open[name], parts)
			delete(open, name)
		case line.Message == "request sent":
			lf := open[name]
			if lf == nil {
				lf = &life{}
				open[name] = lf
			}
			lf.sends = append(lf.sends, *line)
		}
	}
	slices.SortStableFunc(rp.Losses, func(one, two Loss) int { return one.At.Compare(two.At) })
	return rp
}

// part is a prompt's reading that an engine was sent.
type part struct {
	at      time.Time
	request string
	help    bool
}

// parts lists what each replica was sent, in the order of time.
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

// lose takes what was open at an instance that started anew.
func (rp *Report) lose(instance string, open map[key]*life) {
	for _, name := range slices.SortedFunc(maps.Keys(open), func(one, two key) int { return cmp.Compare(one.request, two.request) }) {
		if name.instance != instance {
			continue
		}
		first := open[name].sends[0]
		at := first.Time.Add(-time.Duration(first.AgeMs) * time.Millisecond)
		rp.Requests++
		// Its worth stands only on the line that it never got.
		rp.Losses = append(rp.Losses, Loss{At: at, Request: name.request, Instance: instance, Cause: CauseInstance})
		delete(open, name)
	}
}

// end takes the line that ends a request.
func (rp *Report) end(line *Line, lf *life, parts map[string][]part) {
	at := line.Time.Add(-time.Duration(line.AgeMs) * time.Millisecond)
	if rp.From.IsZero() || at.Before(rp.From) {
		rp.From = at
	}
	rp.Requests++
	rp.Worth += line.Value
	if lf == nil {
		lf = &life{}
	}
	cause, share := causeOf(line, lf, at, parts)
	if cause == "" {
		rp.InTime++
		return
	}
	rp.Lost += share * line.Value
	rp.Losses = append(rp.Losses, Loss{At: at, Request: line.Request, Instance: line.instance, Route: line.Route, Cause: cause, Worth: share * line.Value})
}

// causeOf returns why the request lost worth and the share of it; no cause if it was in time.
func causeOf(line *Line, lf *life, at time.Time, parts map[string][]part) (Cause, float64) {
	switch line.Message {
	case "caller left":
		return CauseLeft, 1
	case "failure delivered":
		return CauseFailed, 1
	case "request refused":
		return refusal(line), 1
	}
	first := line.FirstMs
	if line.GapMs == 0 {
		first = line.AgeMs
	}
	late, paused := first > line.GoalMs, line.GapMs > 0 && line.PauseMs > line.GapMs
	switch {
	case !late && !paused:
		return "", 0
	case len(lf.sends) > 1:
		return CauseRepeated, lateShare
	case late:
		return lateCause(line, lf, parts), lateShare
	}
	return pauseCause(line, lf, at, parts), lateShare
}

func refusal(line *Line) Cause {
	switch {
	case line.FirstMs > 0 || line.Reason == "UpstreamFailed":
		return CauseFailed
	case line.Back:
		return CauseAgain
	case line.Reason == "DeadlineExceeded":
		return CauseDeadline
	}
	return CauseRefused
}

func lateCause(line *Line, lf *life, parts map[string][]part) Cause {
	if line.Back {
		return CauseBack
	}
	if len(lf.sends) == 0 {
		return CauseEngine
	}
	sent := &lf.sends[0]
	if sent.AgeMs+sent.EstimateMs > line.GoalMs {
		return CauseWaited
	}
	began := sent.Time.Add(time.Duration(line.FirstMs-sent.AgeMs) * time.Millisecond)
	for _, replica := range append([]string{sent.Replica}, sent.Helpers...) {
		for _, pt := range parts[replica] {
			if pt.help && pt.request != line.Request && pt.at.After(sent.Time) && pt.at.Before(began) {
				return CausePassed
			}
		}
	}
	return CauseEngine
}

// passLength is how long before a pause what is read in it may have been sent: a pass lasts some 50 ms.
const passLength = 100 * time.Millisecond

func pauseCause(line *Line, lf *life, at time.Time, parts map[string][]part) Cause {
	if len(lf.sends) == 0 {
		return CauseSilent
	}
	until := at.Add(time.Duration(line.PauseAtMs) * time.Millisecond)
	from := until.Add(-time.Duration(line.PauseMs)*time.Millisecond - passLength)
	for _, pt := range parts[lf.sends[0].Replica] {
		if pt.request != line.Request && pt.at.After(from) && pt.at.Before(until) {
			return CauseRead
		}
	}
	return CauseSilent
}
