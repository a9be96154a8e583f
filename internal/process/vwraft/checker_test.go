package vwraft_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// checker records leaders and committed entries of all members and detects contradictions between them.
type checker struct {
	leaders          map[vwraft.Term]vwid.Member
	committedEntries map[vwraft.Index]vwraft.Entry
}

func makeChecker() *checker {
	return &checker{leaders: map[vwraft.Term]vwid.Member{}, committedEntries: map[vwraft.Index]vwraft.Entry{}}
}

// recordLeader returns an error if the term already has another leader.
func (c *checker) recordLeader(member vwid.Member, term vwraft.Term) error {
	if known, ok := c.leaders[term]; ok && known != member {
		return fmt.Errorf("term %d has the leaders %s and %s", term, known, member)
	}
	c.leaders[term] = member
	return nil
}

// recordCommitted returns an error if another entry was committed at the same index.
func (c *checker) recordCommitted(entry vwraft.Entry) error {
	known, ok := c.committedEntries[entry.Index]
	if ok && (known.Term != entry.Term || known.Kind != entry.Kind || !bytes.Equal(known.Data, entry.Data)) {
		return fmt.Errorf("entry %d was committed as %q in term %d and as %q in term %d", entry.Index, known.Data, known.Term, entry.Data, entry.Term)
	}
	c.committedEntries[entry.Index] = entry
	return nil
}

// checkComplete returns an error if a member has committed an entry after applied, the last entry that all apply.
func (c *checker) checkComplete(applied vwraft.Index) error {
	for index := range c.committedEntries {
		if index > applied {
			return fmt.Errorf("entry %d was committed but the final log ends with entry %d", index, applied)
		}
	}
	return nil
}

// Guards against a checker that misses violations, and so lets the safety tests pass on any fault.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	faults := map[string]struct {
		inject func(c *checker) error
		want   string
	}{
		"second leader": {func(c *checker) error { return c.recordLeader("m1", 1) }, "term 1 has the leaders m0 and m1"},
		"replaced":      {func(c *checker) error { return c.recordCommitted(vwraft.Entry{Index: 1, Term: 2, Data: []byte("b")}) }, "entry 1 was committed"},
		"lost":          {func(c *checker) error { return c.checkComplete(0) }, "the final log ends"},
		"reordered":     {func(c *checker) error { return c.recordCommitted(vwraft.Entry{Index: 1, Term: 1, Data: []byte("b")}) }, "entry 1 was committed"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := makeChecker()
			require.NoError(t, c.recordLeader("m0", 1))
			require.NoError(t, c.recordCommitted(vwraft.Entry{Index: 1, Term: 1, Data: []byte("a")}))
			require.ErrorContains(t, fault.inject(c), fault.want)
		})
	}
}

// Guards against a simulation that misses two leaders of one term: members that lose their stored vote and log let a
// second member win the term of the first leader.
func TestSimulationDetectsLostVote(t *testing.T) {
	c := makeCluster(t, 3, 1)
	first := c.leader()
	term := c.nodes[first].Status().Term
	var second vwid.Member
	for _, member := range c.members() {
		if member == first {
			continue
		}
		second = member
		c.disks[member].hard = vwraft.HardState{Term: term - 1}
		c.disks[member].entries = c.disks[member].entries[:1]
		c.start(member)
	}
	c.isolate(first, true)
	found := false
	for range 100 {
		for _, member := range c.members() {
			c.nodes[member].Tick()
			ready, ok := c.nodes[member].Ready()
			for ok {
				c.disks[member].store(ready)
				c.transmit(ready.Messages)
				c.transmit(ready.AfterSync)
				c.nodes[member].Advance()
				ready, ok = c.nodes[member].Ready()
			}
			if status := c.nodes[member].Status(); status.Role == vwraft.RoleLeader && c.checker.recordLeader(member, status.Term) != nil {
				found = true
			}
		}
		for len(c.inFlight) > 0 {
			m := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.nodes[m.To].Step(m)
		}
	}
	require.True(t, found, "no second leader of term %d was found; %s should have become one", term, second)
}
