package vwevent

import (
	"vanillawind.example/vanillawind/pkg/vwid"
)

// pairing says which event is the effect of which other one at another process.
type pairing struct {
	cause, effect Kind
	// byPeer tells that a submission has such events for several pairs of processes.
	byPeer bool
}

var pairings = []pairing{
	{cause: TaskSent, effect: TaskStarted},
	{cause: TaskEnded, effect: ResultReceived},
	{cause: FenceSent, effect: Fenced, byPeer: true},
	{cause: Fenced, effect: FenceReplyReceived, byPeer: true},
}

// pairKey identifies one message.
type pairKey struct {
	cause      Kind
	submission vwid.SubmissionID
	task       vwid.TaskID
	epoch      vwid.Epoch
	from, to   vwid.Process
}

// pair is a message by the indexes of its cause and effect.
type pair struct {
	cause, effect int
}

// findPairs matches the first cause with the first effect of each key. Where a message was sent
// again, the first cause still precedes the first effect.
func findPairs(events []Event) []pair {
	causes, effects := map[pairKey]int{}, map[pairKey]int{}
	for index, event := range events {
		for _, rule := range pairings {
			if event.Kind == rule.cause {
				addFirst(causes, rule.key(event, event.Process, event.Peer), index)
			}
			if event.Kind == rule.effect {
				addFirst(effects, rule.key(event, event.Peer, event.Process), index)
			}
		}
	}
	var pairs []pair
	for index, event := range events {
		for _, rule := range pairings {
			if event.Kind != rule.effect {
				continue
			}
			key := rule.key(event, event.Peer, event.Process)
			cause, ok := causes[key]
			if ok && effects[key] == index && events[cause].Source != event.Source {
				pairs = append(pairs, pair{cause: cause, effect: index})
			}
		}
	}
	return pairs
}

func addFirst(indexes map[pairKey]int, key pairKey, index int) {
	if _, ok := indexes[key]; !ok {
		indexes[key] = index
	}
}

func (p pairing) key(event Event, from, to vwid.Process) pairKey {
	key := pairKey{cause: p.cause, submission: event.SubmissionID, task: event.TaskID, epoch: event.Epoch}
	if p.byPeer {
		key.from, key.to = from, to
	}
	return key
}
