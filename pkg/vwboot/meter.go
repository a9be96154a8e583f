package vwboot

import (
	"sync"
	"time"
)

// jumpTolerance is the difference between the advance of the wall clock and that of the monotonic clock from which on a
// Meter checks whether the machine was suspended.
const jumpTolerance = 50 * time.Millisecond

// Meter tells for how long the machine has been suspended. It reads the clocks of the kernel only after the wall clock has
// jumped, because that takes several system calls. It may be used by several goroutines.
type Meter struct {
	read func() time.Duration

	mu    sync.Mutex
	last  time.Time
	total time.Duration
}

// MakeMeter returns a meter that uses read, which is Suspended outside of tests.
func MakeMeter(read func() time.Duration) *Meter {
	return &Meter{read: read}
}

// Suspended returns the time for which the machine has been suspended before now, which is the present time of the runtime.
// Only differences between two results are of use.
func (m *Meter) Suspended(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last.IsZero() {
		m.total = m.read()
	} else {
		m.advance(now.Round(0).Sub(m.last.Round(0)), now.Sub(m.last))
	}
	m.last = now
	return m.total
}

// advance updates the total after the wall clock and the monotonic clock have advanced.
func (m *Meter) advance(wall, monotonic time.Duration) {
	if jump := wall - monotonic; jump >= jumpTolerance || jump <= -jumpTolerance {
		m.total = max(m.read(), m.total)
	}
}
