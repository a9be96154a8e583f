package vwcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// startOperators starts concurrent operators and returns a function that stops them. Each reads the version, proposes a
// change based on it, resends changes that may have run, and at times resends acknowledged ones.
func (c *cluster) startOperators(count int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	for at := range count {
		random := rand.New(rand.NewPCG(c.random.Uint64(), 4))
		c.group.Run(func(context.Context) { c.runOperator(ctx, at, random) })
	}
	return cancel
}

func (c *cluster) runOperator(ctx context.Context, at int, random *rand.Rand) {
	for sequence := 0; ctx.Err() == nil; sequence++ {
		time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		m := c.member((at + random.IntN(2)) % len(c.disks))
		if m == nil {
			continue
		}
		view, err := readWithin(m, vwstate.Query{Config: true})
		if err != nil {
			continue
		}
		id := vwid.ChangeID(fmt.Sprintf("operator %d change %d", at, sequence))
		c.proposeUntilCertain(id, view.Config.Version, at, random)
	}
}

// proposeUntilCertain proposes a change until its outcome is certain, and sometimes again afterwards.
func (c *cluster) proposeUntilCertain(id vwid.ChangeID, base vwid.ConfigVersion, at int, random *rand.Rand) {
	command := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: base, Text: []byte(id)}}
	neverRan := true
	for range 100 {
		m := c.member((at + random.IntN(3)) % len(c.disks))
		if m == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		outcome, err := proposeWithin(m, command)
		switch {
		case err == nil:
			c.history.recordOutcome(id, outcome)
			if random.IntN(5) > 0 {
				return
			}
			neverRan = false
		case vwverdict.IsNotRun(err) && neverRan:
			c.history.recordNotRun(id)
			return
		default:
			neverRan = false
		}
	}
}

func proposeWithin(m *Member, command vwstate.Command) (vwstate.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return m.Client().Propose(ctx, command)
}

func readWithin(m *Member, query vwstate.Query) (vwstate.View, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return m.Client().Read(ctx, query)
}
