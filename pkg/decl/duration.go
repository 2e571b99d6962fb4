package decl

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "1m30s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (dur Duration) Std() time.Duration {
	return time.Duration(dur)
}

// String returns the text form without units that are zero: "5m" and not "5m0s".
func (dur Duration) String() string {
	text := time.Duration(dur).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// MarshalText implements encoding.TextMarshaler.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(dur.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (dur *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("decl: duration %q: write a number with a unit, such as 250ms or 30s", text)
	}
	*dur = Duration(parsed)
	return nil
}
