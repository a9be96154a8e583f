package vwagent

import (
	"cmp"
	"hash/fnv"
	"slices"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// ChooseEntries returns at most limit of the entries for an agent. The choice depends only on the process and
// the set of entries. It goes round-robin over the data centres, starting with its own, so that the loss of one
// data centre leaves links to the others. Within a data centre each agent ranks the entries by its own hash,
// which spreads the agents evenly and moves few links when an entry is added or removed.
func ChooseEntries(process vwid.Process, own vwid.DataCentre, entries []vwmessage.EntryAddress, limit int) []vwmessage.EntryAddress {
	groups := groupByDataCentre(process, entries)
	order := make([]vwid.DataCentre, 0, len(groups))
	for dataCentre := range groups {
		order = append(order, dataCentre)
	}
	slices.SortFunc(order, func(a, b vwid.DataCentre) int {
		if (a == own) != (b == own) {
			return cmp.Compare(btoi(b == own), btoi(a == own))
		}
		// With more data centres than limit, agents differ in which ones they leave out.
		return cmp.Or(cmp.Compare(rank(process, string(a)), rank(process, string(b))), cmp.Compare(a, b))
	})
	var chosen []vwmessage.EntryAddress
	for turn := 0; len(chosen) < min(limit, len(entries)); turn++ {
		for _, dataCentre := range order {
			if group := groups[dataCentre]; turn < len(group) && len(chosen) < limit {
				chosen = append(chosen, group[turn])
			}
		}
	}
	return chosen
}

func groupByDataCentre(process vwid.Process, entries []vwmessage.EntryAddress) map[vwid.DataCentre][]vwmessage.EntryAddress {
	groups := map[vwid.DataCentre][]vwmessage.EntryAddress{}
	for _, entry := range entries {
		groups[entry.DataCentre] = append(groups[entry.DataCentre], entry)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b vwmessage.EntryAddress) int {
			return cmp.Or(cmp.Compare(rank(process, a.Address), rank(process, b.Address)), cmp.Compare(a.Address, b.Address))
		})
	}
	return groups
}

func rank(process vwid.Process, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(process))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	// FNV alone leaves the high bits of similar names similar; this mixes them.
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
