package vwintake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// testSettings are small enough to count by hand.
var testSettings = Settings{
	Total: 100, Reserve: 20, Small: 4, PerAddress: 50, PerKind: 70,
	StallTime: time.Second, ProgressTime: 5 * time.Second, ProgressBytes: 2,
}

var (
	start = time.Unix(1000, 0)
	addrA = netip.MustParseAddr("10.0.0.1")
	addrB = netip.MustParseAddr("10.0.0.2")
)

// hold begins a holding of so many bytes.
func hold(l *ledger, address netip.Addr, bytes vwunit.Bytes, now time.Time) (*Holding, Reason, []*Holding) {
	h := &Holding{address: address}
	l.begin(h, now)
	refusal, evicted := l.grow(h, bytes, now)
	return h, refusal, evicted
}

// Guards against one client address, one kind or large bodies that take all, and against ordinary requests that find no room.
func TestShares(t *testing.T) {
	l := makeLedger(testSettings)
	large, refusal, _ := hold(l, addrA, 50, start)
	require.Empty(t, refusal)
	_, refusal, _ = hold(l, addrA, 5, start)
	require.Equal(t, AddressShare, refusal)
	_, refusal, _ = hold(l, addrB, 21, start)
	require.Equal(t, KindShare, refusal)
	other, refusal, _ := hold(l, addrB, 20, start)
	require.Empty(t, refusal)
	l.keep(other, Waiting, 30)
	_, refusal, _ = hold(l, addrB, 5, start)
	require.Equal(t, NoRoom, refusal, "the reserve is not for large holdings")
	for range 5 {
		_, refusal, _ = hold(l, addrA, 4, start)
		require.Empty(t, refusal, "the reserve is for small holdings")
	}
	_, refusal, _ = hold(l, addrA, 4, start)
	require.Equal(t, NoRoom, refusal)
	l.release(large)
	l.release(large)
	_, refusal, _ = hold(l, addrA, 50, start)
	require.Empty(t, refusal, "what is given back is free")
}

// Guards against bodies that stop short and keep their room, and against slow ones that lose theirs without need.
func TestStalledBodiesLose(t *testing.T) {
	l := makeLedger(testSettings)
	stalled, _, _ := hold(l, addrA, 30, start)
	slow, _, _ := hold(l, addrA, 18, start)
	idle, _, _ := hold(l, addrB, 3, start)
	now := start.Add(900 * time.Millisecond)
	l.advance(slow, 1, now)
	l.advance(slow, 1, now)
	_, refusal, evicted := hold(l, addrA, 19, now)
	require.Equal(t, AddressShare, refusal)
	require.Empty(t, evicted, "none has stood still for long enough")
	now = start.Add(time.Second)
	_, refusal, evicted = hold(l, addrA, 19, now)
	require.Empty(t, refusal)
	require.Equal(t, []*Holding{stalled}, evicted, "only the one whose end makes room")
	require.True(t, stalled.evicted)
	require.False(t, slow.evicted)
	require.False(t, idle.evicted)
	waiting, refusal, _ := hold(l, addrB, 20, now)
	require.Empty(t, refusal)
	l.keep(waiting, Waiting, 20)
	_, refusal, evicted = hold(l, addrB, 30, start.Add(time.Hour))
	require.Empty(t, refusal)
	require.Equal(t, []*Holding{slow}, evicted, "what has arrived stays")
}

// Guards against a ledger whose sums drift from what is held: room that is lost for good, or memory beyond the total.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := makeLedger(testSettings)
		var held []*Holding
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			bytes := vwunit.Bytes(rapid.IntRange(0, 40).Draw(t, "bytes"))
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0 || len(held) == 0:
				h, _, _ := hold(l, []netip.Addr{addrA, addrB}[bytes%2], bytes, now)
				held = append(held, h)
			default:
				h := held[rapid.IntRange(0, len(held)-1).Draw(t, "index")]
				switch {
				case action == 1 && h.arriving:
					l.grow(h, h.bytes+bytes, now)
				case action == 2 && h.arriving:
					l.advance(h, bytes, now)
				case action == 3 && h.arriving:
					l.keep(h, Waiting, min(bytes, h.bytes))
				case action == 4:
					l.release(h)
				}
			}
			sum, large, arriving, listed := vwunit.Bytes(0), vwunit.Bytes(0), 0, 0
			for _, h := range held {
				sum += h.bytes
				large += l.largeBytes(h.bytes)
				if h.arriving {
					arriving++
				}
			}
			for p := l.arriving.oldest; p != nil; p = p.after {
				listed++
			}
			require.Equal(t, sum, l.held)
			require.Equal(t, large, l.large)
			require.Equal(t, sum, l.byKind[Bodies]+l.byKind[Waiting])
			require.Equal(t, arriving, listed)
			require.Equal(t, arriving, l.arriving.size)
			require.LessOrEqual(t, l.held, testSettings.Total)
			require.LessOrEqual(t, l.large, testSettings.Total-testSettings.Reserve)
		}
		for _, h := range held {
			l.release(h)
		}
		require.Zero(t, l.held)
		require.Empty(t, l.byAddress)
		require.Nil(t, l.arriving.oldest)
	})
}

// A decision must cost the healthy path no more than a few hundred nanoseconds.
func BenchmarkSmallBody(b *testing.B) {
	budget := Make(SettingsFor(0))
	for b.Loop() {
		h := &Holding{}
		_ = budget.begin(h, 2048)
		budget.finish(h)
		budget.Keep(h, 1024)
		budget.Release(h)
	}
}
