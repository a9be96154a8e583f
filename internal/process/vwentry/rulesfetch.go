package vwentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwpart"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// maxFetchBytes and minFetchBytes bound the parts in one answer. The largest answer takes an eighth of a second of a link
	// of 2 Mbit/s, so that it holds up the other messages of the link only for a moment.
	maxFetchBytes = 32 << 10
	minFetchBytes = 1 << 10
	// maxFetchParts bounds the ids in one call.
	maxFetchParts = 64
	// fetchTimeout bounds one call for parts, and leaves time to try another control member.
	fetchTimeout = 600 * time.Millisecond
	// fetchPause follows a call for parts that brought none.
	fetchPause = 50 * time.Millisecond
)

// rulesFetch reads the rules of a newer version from control, part by part, beside the renewals of the lease. Parts that have
// arrived stay when a call fails, and those that a still newer version shares stay when it replaces the version.
type rulesFetch struct {
	entry *Entry
	wake  chan struct{}

	mu     sync.Mutex
	target rulesTarget

	// The goroutine of run owns the fields below.
	assembly *vwpart.Assembly
	// heldParts are the parts of the version in force, and wanted is the version that is fetched.
	heldParts []vwid.RulesPart
	wanted    vwid.ConfigVersion
	// answerBytes is the bound that is asked for. It adapts to the link.
	answerBytes int
	// refused is the version whose rules could not be parsed.
	refused vwid.ConfigVersion
}

// rulesTarget is the newest known version of the rules, and the grant that puts it in force.
type rulesTarget struct {
	request vwlease.Request
	// grant has no text.
	grant vwlease.Grant
	parts []vwid.RulesPart
}

func makeRulesFetch(e *Entry) *rulesFetch {
	return &rulesFetch{entry: e, wake: make(chan struct{}, 1), assembly: vwpart.MakeAssembly(), answerBytes: maxFetchBytes}
}

// setTarget starts or redirects the fetch. A later grant of the same version lets the lease begin later.
func (f *rulesFetch) setTarget(target rulesTarget) {
	f.mu.Lock()
	if target.grant.Version < f.target.grant.Version {
		f.mu.Unlock()
		return
	}
	f.target = target
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *rulesFetch) newestTarget() rulesTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

func (f *rulesFetch) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		f.fetchNewest(ctx)
	}
}

// fetchNewest fetches until the newest known version is in force or cannot be parsed.
func (f *rulesFetch) fetchNewest(ctx context.Context) {
	for ctx.Err() == nil {
		target := f.newestTarget()
		if target.grant.Version <= max(f.entry.holder.Version(), f.refused) {
			return
		}
		if target.grant.Version != f.wanted {
			f.wanted = target.grant.Version
			f.assembly.Keep(slices.Concat(f.heldParts, target.parts))
		}
		missing := f.assembly.Missing(target.parts)
		if len(missing) == 0 {
			f.putInForce(target)
			continue
		}
		if !f.fetchParts(ctx, missing) && vwgroup.Sleep(ctx, fetchPause) != nil {
			return
		}
	}
}

// fetchParts asks for the first of the missing parts and reports whether any has arrived.
func (f *rulesFetch) fetchParts(ctx context.Context, missing []vwid.RulesPart) bool {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	counters := f.entry.counters
	view, err := f.entry.control.Read(limited, vwstate.Query{Parts: missing[:min(len(missing), maxFetchParts)], PartBytes: f.answerBytes})
	if err != nil {
		counters.RulesFetchesFailed.Add(1)
		f.entry.log.Warn("parts of the rules not read", "version", uint64(f.wanted), "missing", len(missing), "bytes", f.answerBytes, "error", err)
		f.answerBytes = max(f.answerBytes/2, minFetchBytes)
		return false
	}
	counters.RulesFetches.Add(1)
	f.answerBytes = min(f.answerBytes*2, maxFetchBytes)
	for _, part := range view.Parts {
		counters.RulesBytes.Add(int64(len(part.Packed)))
		if err := f.assembly.Add(part); err != nil {
			f.entry.log.Error("part of the rules refused", "error", err)
			return false
		}
	}
	if len(view.Parts) == 0 {
		// Newer rules have replaced the version. The next renewal names their parts.
		f.entry.renewSoon()
		return false
	}
	return true
}

// putInForce puts a version in force whose parts have all arrived. It parses the text, which takes long if there are many
// routes, outside of the event loop.
func (f *rulesFetch) putInForce(target rulesTarget) {
	grant := target.grant
	grant.Text = f.assembly.Text(target.parts)
	f.heldParts = target.parts
	f.assembly.Keep(f.heldParts)
	if _, err := f.entry.holder.Renew(target.request, grant); err != nil {
		f.refused = grant.Version
		f.entry.log.Error("fetched rules refused", "version", uint64(grant.Version), "error", err)
		return
	}
	f.entry.post(func() {
		f.entry.recordLease(time.Now())
		f.entry.applyChangedRules()
	})
	// The grant may have run out during the fetch.
	f.entry.renewSoon()
}
