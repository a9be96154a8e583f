package vwagent

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// findInterval is how often entries are looked for while the agent has no link.
const findInterval = 300 * time.Millisecond

// find asks for entries until one is linked, and again when all links are lost.
func (a *Agent) find(ctx context.Context) {
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
			a.findOnce(ctx)
		}
		if vwgroup.Sleep(ctx, findInterval) != nil {
			return
		}
	}
}

func (a *Agent) findOnce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	entries, err := a.options.Find(limited)
	if err != nil {
		a.logger.Warn("entries were not found", "Error", err.Error())
		return
	}
	a.post(eventFunc(func(now time.Time) {
		r := a.current
		if r == nil || len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			r.named[entry.Address] = namedEntry{entry: entry, at: now}
		}
		r.namedAt = now
		r.refreshTargets()
	}))
}
