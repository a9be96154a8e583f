package vwraft_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// checker watches the members from outside.
type checker struct {
	leaders map[vwraft.Term]vwid.Member
	log     map[vwraft.Index]vwraft.Entry
}

func makeChecker() *checker {
	return &checker{leaders: map[vwraft.Term]vwid.Member{}, log: map[vwraft.Index]vwraft.Entry{}}
}

// leads fails when a term has a second leader.
func (c *checker) leads(member vwid.Member, term vwraft.Term) error {
	if known, ok := c.leaders[term]; ok && known != member {
		return fmt.Errorf("term %d has the leaders %s and %s", term, known, member)
	}
	c.leaders[term] = member
	return nil
}

// committed fails when two members commit different entries at one index.
func (c *checker) committed(entry vwraft.Entry) error {
	known, ok := c.log[entry.Index]
	if ok && (known.Term != entry.Term || known.Kind != entry.Kind || !bytes.Equal(known.Data, entry.Data)) {
		return fmt.Errorf("entry %d was committed as %q in term %d and as %q in term %d", entry.Index, known.Data, known.Term, entry.Data, entry.Term)
	}
	c.log[entry.Index] = entry
	return nil
}

// complete fails when an entry that some member has committed lies beyond what all apply in the end.
func (c *checker) complete(applied vwraft.Index) error {
	for index := range c.log {
		if index > applied {
			return fmt.Errorf("entry %d was committed but the final log ends with entry %d", index, applied)
		}
	}
	return nil
}

// A checker that cannot fail would prove nothing: each planted fault must be found.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		plant func(c *checker) error
		want  string
	}{
		"second leader": {func(c *checker) error { return c.leads("m1", 1) }, "term 1 has the leaders m0 and m1"},
		"replaced":      {func(c *checker) error { return c.committed(vwraft.Entry{Index: 1, Term: 2, Data: []byte("b")}) }, "entry 1 was committed"},
		"lost":          {func(c *checker) error { return c.complete(0) }, "the final log ends"},
		"reordered":     {func(c *checker) error { return c.committed(vwraft.Entry{Index: 1, Term: 1, Data: []byte("b")}) }, "entry 1 was committed"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := makeChecker()
			require.NoError(t, c.leads("m0", 1))
			require.NoError(t, c.committed(vwraft.Entry{Index: 1, Term: 1, Data: []byte("a")}))
			require.ErrorContains(t, fault.plant(c), fault.want)
		})
	}
}

// A member that forgets its vote lets a term have two leaders; the simulation must notice it.
func TestSimulationFindsForgottenVote(t *testing.T) {
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
			if status := c.nodes[member].Status(); status.Role == vwraft.RoleLeader && c.check.leads(member, status.Term) != nil {
				found = true
			}
		}
		for len(c.network) > 0 {
			m := c.network[0]
			c.network = c.network[1:]
			c.nodes[m.To].Step(m)
		}
	}
	require.True(t, found, "no second leader of term %d was found; %s should have become one", term, second)
}
