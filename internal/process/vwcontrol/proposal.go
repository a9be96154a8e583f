package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// proposal is a request that waits until the entry that this member appended as leader of term is committed.
type proposal struct {
	term     vwraft.Term
	deadline time.Time
	answer   Answer
}

// proposals holds the waiting proposals by the index of their entry. They are kept when the leadership is lost, because
// only the entry that is committed at the index decides whether the command has run.
type proposals struct {
	waiting map[vwraft.Index]proposal
}

func makeProposals() proposals {
	return proposals{waiting: map[vwraft.Index]proposal{}}
}

func (p *proposals) add(index vwraft.Index, prop proposal) {
	if old, ok := p.waiting[index]; ok {
		// The earlier entry was overwritten here, but another member may still hold and commit it.
		old.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, ErrNotLeader{}))
	}
	p.waiting[index] = prop
}

// takeMatching returns and deletes the proposal of a committed entry. If the entry at its index has another term, it answers
// NotRun and returns false.
func (p *proposals) takeMatching(entry *vwraft.Entry) (proposal, bool) {
	prop, ok := p.waiting[entry.Index]
	if !ok {
		return proposal{}, false
	}
	delete(p.waiting, entry.Index)
	if prop.term != entry.Term {
		prop.answer(nil, vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{}))
		return proposal{}, false
	}
	return prop, true
}

// complete answers the proposal of an applied entry with its outcome.
func (p *proposals) complete(entry *vwraft.Entry, outcome vwstate.Outcome) {
	prop, ok := p.takeMatching(entry)
	if !ok {
		return
	}
	data, err := outcome.MarshalMsg(nil)
	if err != nil {
		prop.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, err))
		return
	}
	prop.answer(&vwmessage.Outcome{Outcome: data}, nil)
}

// rejectReplaced answers NotRun to the proposal at the index of an entry that carries no command.
func (p *proposals) rejectReplaced(entry *vwraft.Entry) {
	if prop, ok := p.takeMatching(entry); ok {
		prop.answer(nil, vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{}))
	}
}

// failThrough answers MayHaveRun to the proposals up to index after a snapshot was installed, which does not show
// whether their entries were committed.
func (p *proposals) failThrough(index vwraft.Index) {
	for at, prop := range p.waiting {
		if at <= index {
			delete(p.waiting, at)
			prop.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, ErrNotLeader{}))
		}
	}
}

func (p *proposals) expire(now time.Time) {
	for at, prop := range p.waiting {
		if now.After(prop.deadline) {
			delete(p.waiting, at)
			prop.answer(nil, vwverdict.Errorf(vwverdict.MayHaveRun, "the command was not committed in time"))
		}
	}
}

func (p *proposals) failAll(cause error) {
	for at, prop := range p.waiting {
		delete(p.waiting, at)
		prop.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, cause))
	}
}
