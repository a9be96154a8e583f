package vwagent

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const (
	// readRulesTimeout leaves time to try another control member after one that does not respond.
	readRulesTimeout = time.Second
	// readRulesInterval is the minimum time between two such calls.
	readRulesInterval = 300 * time.Millisecond
)

// readRulesIfDue asks control for the rules when no entry has renewed the lease in time. The entries may have lost control
// while this agent reaches it, and then the agent would start tasks of best-effort jobs under outdated rules for as long as
// the lease allows after its end.
//
// A registered agent does not ask: its lease also stands for its registration, which only an entry renews.
func (r *registration) readRulesIfDue(now time.Time) {
	a := r.agent
	if a.options.ReadRules == nil || a.runner == nil || a.backend.service != "" || r.readingRules || now.Before(r.readRulesAt) {
		return
	}
	held := r.lease.Held()
	if _, fresh := r.lease.Rules(now); fresh || held == 0 {
		return
	}
	r.readingRules, r.readRulesAt = true, now.Add(readRulesInterval)
	a.counters.RulesReads.Add(1)
	a.group.Run(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, readRulesTimeout)
		defer cancel()
		sent := time.Now()
		rules, err := a.options.ReadRules(limited, held)
		a.post(eventFunc(func(now time.Time) { r.onRulesRead(now, sent, rules, err) }))
	})
}

// onRulesRead renews the lease with the rules that control returned to a call made at sent.
func (r *registration) onRulesRead(now, sent time.Time, rules vwstate.Config, err error) {
	r.readingRules = false
	if r != r.agent.current {
		return
	}
	held := r.lease.Held()
	if err == nil {
		err = r.lease.Renew(sent, &vwmessage.LeaseReply{Version: rules.Version, RemainingMilliseconds: maxLease.Milliseconds(), Rules: rules.Text})
	}
	if err != nil {
		if !sent.Before(r.agent.stalledAt) {
			r.agent.confirmRulesBy = time.Time{}
		}
		r.agent.logger.Warn("no entry renews the configuration lease, and the rules cannot be read from control", "Version", uint64(held), "Error", err.Error())
		return
	}
	r.agent.logger.Info("no entry renews the configuration lease; the rules were read from control", "Version", uint64(rules.Version), "Held", uint64(held),
		"Milliseconds", now.Sub(sent).Milliseconds())
	r.recordLease(now)
	r.dirty = true
}
