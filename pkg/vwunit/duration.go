package vwunit

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that files write as a string such as "500ms".
type Duration time.Duration

// String returns the duration as files write it.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.BadParameter("%q is not a duration such as \"500ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
