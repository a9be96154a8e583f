// Package vwunit holds the named types of quantities that files and messages share.
package vwunit

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Bytes is an amount of memory or data. Files write it as a string such as "64MiB".
type Bytes int64

// The units in which files may write an amount.
const (
	Byte Bytes = 1
	KiB  Bytes = 1 << 10
	MiB  Bytes = 1 << 20
	GiB  Bytes = 1 << 30
)

// byteUnits are the suffixes, longest first, so that "KiB" is not read as "B".
var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// ParseBytes reads a whole number followed by B, KiB, MiB or GiB.
func ParseBytes(text string) (Bytes, error) {
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(number, 10, 64)
		if err != nil || count < 0 || number[0] == '+' || count > math.MaxInt64/int64(unit.size) {
			break
		}
		return Bytes(count) * unit.size, nil
	}
	return 0, trace.BadParameter("%q is not an amount of bytes such as \"64MiB\"", text)
}

// String returns b in the largest unit that holds it exactly.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return fmt.Sprintf("%d%s", int64(b/unit.size), unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	parsed, err := ParseBytes(string(text))
	if err != nil {
		return trace.Wrap(err)
	}
	*b = parsed
	return nil
}
