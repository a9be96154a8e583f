package vwagent

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// positionBlock is the number of consecutive positions whose agents choose with regard to each other.
	positionBlock = 64
	// choiceSlack is by how many agents of a block an entry may exceed another one. Without slack, an entry that goes
	// moves the choices of most agents after it in the block.
	choiceSlack = 1
)

// ChooseEntries returns at most limit of the entries for an agent, those of its own data centre first. The choice
// depends only on the process and the set of entries. Each data centre gets links in proportion to its entries, so that
// the entries of a small data centre do not have the workers of several others, and those of a large one are not
// short of them. At least half of the links go to other data centres, if those have that many entries, so that
// the loss of one leaves links to the others. Within a data centre each agent ranks the entries by its own hash, so that
// few links move when an entry is added or removed.
//
// The load that this answers: after a loss of power one entry had half of the traffic, and with links in equal number to
// each data centre it had 18 of 67 workers, where another had 42.
func ChooseEntries(process vwid.Process, own vwid.DataCentre, entries []vwmessage.EntryAddress, limit int) []vwmessage.EntryAddress {
	return chooseFor(string(process), own, entries, limit, map[string]int{})
}

// ChooseEntriesByPosition does the same for an agent whose data centre numbers its agents, if only in part and with gaps.
// An agent goes through the choices of those that come before it in its block of positions and avoids the entries that these have
// taken more often than others, so that chance leaves no entry short. Positions without an agent cost some of the evenness.
//
// The load that this answers: with links by chance, entries had 26 to 43 of 67 workers, and in one data centre those with
// 26 and 34 refused twice as much of their jobs as the one with 43.
func ChooseEntriesByPosition(position uint64, own vwid.DataCentre, entries []vwmessage.EntryAddress, limit int) []vwmessage.EntryAddress {
	taken := map[string]int{}
	for member := position / positionBlock * positionBlock; ; member++ {
		chosen := chooseFor(strconv.FormatUint(member, 10), own, entries, limit, taken)
		if member == position {
			return chosen
		}
		for i := range chosen {
			taken[chosen[i].Address]++
		}
	}
}

// chooseFor returns the choice of the agent with an identity, where others have taken the entries as often as given.
func chooseFor(identity string, own vwid.DataCentre, entries []vwmessage.EntryAddress, limit int, taken map[string]int) []vwmessage.EntryAddress {
	limit = min(limit, len(entries))
	shares := makeShares(identity, own, entries)
	chosen := make([]vwmessage.EntryAddress, 0, limit)
	for range limit {
		best := nextShare(shares, (limit+1)/2)
		if best == nil {
			// The other data centres have too few entries for half of the links.
			best = nextShare(shares, limit)
		}
		chosen = append(chosen, best.take(taken))
	}
	return chosen
}

// dataCentreShare holds the entries of a data centre that an agent has not taken, in the order of its preference.
type dataCentreShare struct {
	dataCentre vwid.DataCentre
	entries    []vwmessage.EntryAddress
	taken      int
	// offset rounds the share: the data centre gets its next link at a quotient of its entries and taken + offset. It
	// differs over the agents, so that all together have links in proportion to the entries.
	offset float64
}

// take removes and returns the first entry that others have taken hardly more often than the rest.
func (s *dataCentreShare) take(taken map[string]int) vwmessage.EntryAddress {
	least := taken[s.entries[0].Address]
	for i := range s.entries {
		least = min(least, taken[s.entries[i].Address])
	}
	at := slices.IndexFunc(s.entries, func(e vwmessage.EntryAddress) bool { return taken[e.Address] <= least+choiceSlack })
	entry := s.entries[at]
	s.entries = slices.Delete(s.entries, at, at+1)
	s.taken++
	return entry
}

// makeShares returns the data centres of the entries, the agent's own one first. Its offset is zero, so that its share is
// rounded up.
func makeShares(identity string, own vwid.DataCentre, entries []vwmessage.EntryAddress) []dataCentreShare {
	groups := groupByDataCentre(identity, entries)
	shares := make([]dataCentreShare, 0, len(groups))
	for dataCentre, group := range groups {
		s := dataCentreShare{dataCentre: dataCentre, entries: group}
		if dataCentre != own {
			s.offset = toFraction(rank(identity, string(dataCentre)))
		}
		shares = append(shares, s)
	}
	slices.SortFunc(shares, func(a, b dataCentreShare) int {
		if (a.dataCentre == own) != (b.dataCentre == own) {
			return cmp.Compare(btoi(b.dataCentre == own), btoi(a.dataCentre == own))
		}
		return cmp.Compare(a.dataCentre, b.dataCentre)
	})
	return shares
}

// toFraction maps a hash to a number above 0 and below 1.
func toFraction(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// quotient is the higher, the more entries the data centre has for each link that it gets.
func (s *dataCentreShare) quotient() float64 {
	return float64(len(s.entries)+s.taken) / (float64(s.taken) + s.offset)
}

// nextShare returns the data centre that gets the next link, or nil if each has most links or no more entries.
func nextShare(shares []dataCentreShare, most int) *dataCentreShare {
	var best *dataCentreShare
	for i := range shares {
		s := &shares[i]
		if s.taken < most && len(s.entries) > 0 && (best == nil || s.quotient() > best.quotient()) {
			best = s
		}
	}
	return best
}

// rankedEntry is an entry with its rank for an identity, which is calculated once, since a sort compares it many times.
type rankedEntry struct {
	rank  uint64
	entry *vwmessage.EntryAddress
}

// groupByDataCentre returns the entries of each data centre in the order of an identity's preference.
func groupByDataCentre(identity string, entries []vwmessage.EntryAddress) map[vwid.DataCentre][]vwmessage.EntryAddress {
	ranked := make([]rankedEntry, 0, len(entries))
	for i := range entries {
		ranked = append(ranked, rankedEntry{rank: rank(identity, entries[i].Address), entry: &entries[i]})
	}
	slices.SortFunc(ranked, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.entry.Address, b.entry.Address))
	})
	groups := map[vwid.DataCentre][]vwmessage.EntryAddress{}
	for _, r := range ranked {
		groups[r.entry.DataCentre] = append(groups[r.entry.DataCentre], *r.entry)
	}
	return groups
}

func rank(identity, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(identity))
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
