package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Announced is what an upstream announces about itself in the header of an answer.
type Announced struct {
	// Limited reports whether the answer states a rate limit.
	Limited bool
	// PerS is the stated limit in requests per second, for all instances together.
	PerS float64
	// Leaving reports that the upstream is about to shut down and wants no new requests.
	Leaving bool
	// Rest is how long the upstream, which refused the request, wants no requests from this instance; 0 if it states no time.
	Rest time.Duration
	// ColdKnown reports whether the answer states for how long the upstream is still cold.
	ColdKnown bool
	// Cold is how long the upstream is still cold, if ColdKnown.
	Cold time.Duration
	// Invalid quotes the announcements whose value cannot be used.
	Invalid []string
}

// Names holds the names of the headers in which upstreams announce. An empty name stands for a header that they do not send.
type Names struct {
	// Leaving is set to "1" in the answers of an upstream that is about to shut down.
	Leaving string
	// Limit is set to a rate limit in requests per second.
	Limit string
	// Cold is set to the time in ms for which the upstream is still cold.
	Cold string
}

// headerRetryAfter is a time in seconds, which may have a fraction. In the 503 of an upstream it is how long the upstream wants
// no requests from this instance.
const headerRetryAfter = "Retry-After"

// Parse parses what the header of an answer with the status announces.
func Parse(names Names, status int, header http.Header) Announced {
	ann := Announced{}
	if text := get(header, names.Limit); text != "" {
		if ann.PerS, ann.Limited = parseNumber(text); !ann.Limited {
			ann.Invalid = append(ann.Invalid, names.Limit+": "+text)
		}
	}
	if text := get(header, names.Leaving); text != "" {
		if ann.Leaving = strings.TrimSpace(text) == leavingValue; !ann.Leaving {
			ann.Invalid = append(ann.Invalid, names.Leaving+": "+text)
		}
	}
	if text := get(header, names.Cold); text != "" {
		var millis float64
		if millis, ann.ColdKnown = parseNumber(text); ann.ColdKnown {
			ann.Cold = time.Duration(min(millis, float64(MaxCold.Milliseconds())) * float64(time.Millisecond))
		} else {
			ann.Invalid = append(ann.Invalid, names.Cold+": "+text)
		}
	}
	if text := get(header, headerRetryAfter); text != "" && status == http.StatusServiceUnavailable {
		var valid bool
		if ann.Rest, valid = parseSeconds(text); !valid {
			ann.Invalid = append(ann.Invalid, headerRetryAfter+": "+text)
		}
	}
	return ann
}

func get(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}

// leavingValue is the only value that means that the upstream leaves.
const leavingValue = "1"

// MaxRest is the longest rest, to which a longer one is cut.
const MaxRest = 24 * time.Hour

// MaxCold is the maximum time for which an upstream counts as cold after one of its answers, to which a longer one is cut.
const MaxCold = time.Hour

// parseSeconds parses a time in seconds of at most MaxRest. It reports false if the text is not a finite number of at least 0,
// as a date is not.
func parseSeconds(text string) (period time.Duration, valid bool) {
	seconds, valid := parseNumber(text)
	return time.Duration(min(seconds, MaxRest.Seconds()) * float64(time.Second)), valid
}

// parseNumber parses a number. It reports false if the text is not a finite number of at least 0.
func parseNumber(text string) (number float64, valid bool) {
	number, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, false
	}
	return number, true
}
