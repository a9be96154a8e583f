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

// operate runs operators that race each other: each reads the version and changes the rules on it,
// resends what may have run, and now and then resends what was acknowledged.
func (c *cluster) operate(count int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	for at := range count {
		random := rand.New(rand.NewPCG(c.random.Uint64(), 4))
		c.group.Run(func(context.Context) { c.operator(ctx, at, random) })
	}
	return cancel
}

func (c *cluster) operator(ctx context.Context, at int, random *rand.Rand) {
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
		c.change(id, view.Config.Version, at, random)
	}
}

// change proposes until the outcome is certain.
func (c *cluster) change(id vwid.ChangeID, base vwid.ConfigVersion, at int, random *rand.Rand) {
	command := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: base, Text: []byte(id)}}
	sure := true
	for range 100 {
		m := c.member((at + random.IntN(3)) % len(c.disks))
		if m == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		outcome, err := proposeWithin(m, command)
		switch {
		case err == nil:
			c.history.acknowledge(id, outcome)
			if random.IntN(5) > 0 {
				return
			}
			sure = false
		case vwverdict.IsNotRun(err) && sure:
			c.history.refuse(id)
			return
		default:
			sure = false
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
