package vwagent

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// findInterval is the interval between calls of Options.FindEntries while the agent has no link.
const findInterval = 300 * time.Millisecond

// findEntries calls Options.FindEntries whenever the agent has no link.
func (a *Agent) findEntries(ctx context.Context) {
	for {
		links := 0
		if !a.do(func(time.Time) {
			if a.current != nil {
				links = len(a.current.links)
			}
		}) {
			return
		}
		if links == 0 {
			a.findEntriesOnce(ctx)
		}
		if vwgroup.Sleep(ctx, findInterval) != nil {
			return
		}
	}
}

func (a *Agent) findEntriesOnce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	entries, err := a.options.FindEntries(limited)
	if err != nil {
		a.logger.Warn("finding entries failed", "Error", err.Error())
		return
	}
	a.post(eventFunc(func(now time.Time) {
		r := a.current
		if r == nil || len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			r.entriesByAddress[entry.Address] = listedEntry{entry: entry, listedAt: now}
		}
		r.lastListedAt = now
		r.refreshTargets()
	}))
}
