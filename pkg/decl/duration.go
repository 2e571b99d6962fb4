package decl

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "1m30s".
type Duration time.Duration

// Std returns the standard library's form.
func (dur Duration) Std() time.Duration {
	return time.Duration(dur)
}

// String returns the text form.
func (dur Duration) String() string {
	return time.Duration(dur).String()
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
