package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// proposal waits for the entry that this member appended as leader of a term.
type proposal struct {
	term     vwraft.Term
	deadline time.Time
	answer   Answer
}

// proposals are keyed by the index of their entry. They survive the loss of the leadership, because
// only the entry that is finally committed at the index tells what became of them.
type proposals struct {
	waiting map[vwraft.Index]proposal
}

func makeProposals() proposals {
	return proposals{waiting: map[vwraft.Index]proposal{}}
}

func (p *proposals) add(index vwraft.Index, one proposal) {
	if old, ok := p.waiting[index]; ok {
		// The earlier entry is gone here, but another member may still hold and commit it.
		old.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, ErrNotLeader{}))
	}
	p.waiting[index] = one
}

// take removes the proposal for an entry. It answers NotRun itself when another entry was committed there.
func (p *proposals) take(entry *vwraft.Entry) (proposal, bool) {
	one, ok := p.waiting[entry.Index]
	if !ok {
		return proposal{}, false
	}
	delete(p.waiting, entry.Index)
	if one.term != entry.Term {
		one.answer(nil, vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{}))
		return proposal{}, false
	}
	return one, true
}

func (p *proposals) applied(entry *vwraft.Entry, outcome vwstate.Outcome) {
	one, ok := p.take(entry)
	if !ok {
		return
	}
	data, err := outcome.MarshalMsg(nil)
	if err != nil {
		one.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, err))
		return
	}
	one.answer(&vwmessage.Outcome{Outcome: data}, nil)
}

// replaced handles an entry that carries no command.
func (p *proposals) replaced(entry *vwraft.Entry) {
	if one, ok := p.take(entry); ok {
		one.answer(nil, vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{}))
	}
}

// overtaken handles a snapshot, from which the fate of single entries cannot be told.
func (p *proposals) overtaken(index vwraft.Index) {
	for at, one := range p.waiting {
		if at <= index {
			delete(p.waiting, at)
			one.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, ErrNotLeader{}))
		}
	}
}

func (p *proposals) expire(now time.Time) {
	for at, one := range p.waiting {
		if now.After(one.deadline) {
			delete(p.waiting, at)
			one.answer(nil, vwverdict.Errorf(vwverdict.MayHaveRun, "the command was not committed in time"))
		}
	}
}

func (p *proposals) stop() {
	for at, one := range p.waiting {
		delete(p.waiting, at)
		one.answer(nil, vwverdict.Wrap(vwverdict.MayHaveRun, ErrStopped))
	}
}
