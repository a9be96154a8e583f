package vwagent_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// makeEntries returns the given number of entries in each data centre.
func makeEntries(dataCentres, each int) []vwmessage.EntryAddress {
	var entries []vwmessage.EntryAddress
	for i := range dataCentres {
		for j := range each {
			entries = append(entries, vwmessage.EntryAddress{
				DataCentre: vwid.DataCentre(fmt.Sprint("dc", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i, j),
			})
		}
	}
	return entries
}

// Guards against an agent that has no links after the loss of a data centre, and against uneven load on the
// entries over all agents.
func TestChooseEntries(t *testing.T) {
	cases := map[string]struct {
		dataCentres, each, limit int
		least, most              int // per data centre
	}{
		"fewer entries than the limit":      {3, 2, 8, 2, 2},
		"one entry in each of eight":        {8, 1, 8, 1, 1},
		"three data centres":                {3, 10, 8, 2, 3},
		"more data centres than the limit":  {8, 3, 4, 0, 1},
		"one data centre with many entries": {1, 20, 8, 8, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			entries := makeEntries(c.dataCentres, c.each)
			load := map[string]int{}
			const agents = 730
			for i := range agents {
				process := vwid.Process(fmt.Sprint("worker-", i))
				own := vwid.DataCentre(fmt.Sprint("dc", i%c.dataCentres))
				chosen := vwagent.ChooseEntries(process, own, entries, c.limit)
				require.Len(t, chosen, min(c.limit, len(entries)))
				perDataCentre := map[vwid.DataCentre]int{}
				for _, entry := range chosen {
					load[entry.Address]++
					perDataCentre[entry.DataCentre]++
				}
				require.Equal(t, c.most, perDataCentre[own], "the agent's own data centre must come first")
				for dataCentre := range c.dataCentres {
					count := perDataCentre[vwid.DataCentre(fmt.Sprint("dc", dataCentre))]
					require.GreaterOrEqual(t, count, c.least)
					require.LessOrEqual(t, count, c.most)
				}
				entries = append(entries[1:], entries[0])
				require.Equal(t, chosen, vwagent.ChooseEntries(process, own, entries, c.limit), "the choice depends on the order of the list")
			}
			mean := float64(agents*min(c.limit, len(entries))) / float64(len(entries))
			for address, links := range load {
				require.InDelta(t, mean, links, mean/3, "entry %s", address)
			}
		})
	}
}

// Guards against moving more links than those of the entry that was removed.
func TestChooseEntriesMovesFewLinks(t *testing.T) {
	entries := makeEntries(3, 10)
	for i := range 100 {
		process := vwid.Process(fmt.Sprint("worker-", i))
		before := vwagent.ChooseEntries(process, "dc0", entries, 8)
		after := vwagent.ChooseEntries(process, "dc0", entries[1:], 8)
		kept := 0
		for _, entry := range before {
			for _, other := range after {
				if entry.Address == other.Address {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, 7)
	}
}
