package vwplace

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// firstCallShare is the part of the usual time that a first call still has when it arrives. The rest is for the way to the
	// entry.
	firstCallShare = 0.9
	// callTimeWindow is how long a team's calls are watched until they show for how long its callers wait. It is above the
	// time for which callers of an outage return.
	callTimeWindow = 10 * time.Second
	// callTimeMemory is how long a team is remembered that calls no more.
	callTimeMemory = 2 * time.Minute
)

// callTime is the longest time that calls of a team had left, in the window that began at since and in the one before it.
type callTime struct {
	since           time.Time
	longest, before time.Duration
}

// callTimes tells for how long the callers of each team wait after a first call.
//
// The load that it answers: the time-out of a route is raised, or callers wait for less than it from the start. Measured
// against the time-out alone, all their first calls are taken for repeated ones and come after those of all other teams.
type callTimes map[vwid.Team]*callTime

// observe adds a call and returns the longest time that one had left. It is at least atLeast until a whole window is known.
func (c callTimes) observe(now time.Time, team vwid.Team, left, atLeast time.Duration) time.Duration {
	record := c[team]
	if record == nil {
		for other, old := range c {
			if now.Sub(old.since) > callTimeMemory {
				delete(c, other)
			}
		}
		record = &callTime{since: now, before: atLeast}
		c[team] = record
	}
	if now.Sub(record.since) >= callTimeWindow {
		*record = callTime{since: now, before: record.longest}
	}
	record.longest = max(record.longest, left)
	return max(record.longest, record.before)
}

// isRepeatedCall reports whether the caller of a job has waited before it made this call: it waits for less time than callers of
// its team do after a first call.
//
// The load that it answers: after an outage of seconds, the callers of all that time return within tenths of a second, several
// times what the workers can start. Those who have waited through it get a late answer in any case, and without an order
// they take the room of callers whose answers would be in time.
func (c callTimes) isRepeatedCall(now time.Time, job *Job) bool {
	if job.CallTime <= 0 || job.Deadline.IsZero() {
		return false
	}
	left := job.Deadline.Sub(now)
	usual := min(c.observe(now, job.Team, left, job.CallTime), job.CallTime)
	return left < time.Duration(firstCallShare*float64(usual))
}
