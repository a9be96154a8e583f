// Package vwboot reads the clock that counts from the boot of the machine and, unlike the runtime's, goes on while
// the machine is suspended.
package vwboot

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReads bounds the tries to read two clocks at the same time.
	maxReads = 3
	// exact is how close together two clocks must be read, and precision that of Suspended. Scheduling between
	// the two reads looks like a suspension of that length otherwise.
	exact     = 100 * time.Microsecond
	precision = 10 * time.Millisecond
)

// Time returns the time since the machine booted, with the time of suspensions. It is zero where the operating
// system has no such clock.
func Time() time.Duration {
	return read(unix.CLOCK_BOOTTIME)
}

// Suspended returns for how long the machine has been suspended since it booted.
func Suspended() time.Duration {
	suspended, tightest := time.Duration(0), time.Duration(-1)
	for range maxReads {
		before := read(unix.CLOCK_MONOTONIC)
		boot := read(unix.CLOCK_BOOTTIME)
		apart := read(unix.CLOCK_MONOTONIC) - before
		if tightest < 0 || apart < tightest {
			suspended, tightest = boot-before-apart/2, apart
		}
		if apart <= exact {
			break
		}
	}
	return max(suspended.Round(precision), 0)
}

func read(clock int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
