package vwcontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Guards against idle traffic above the budget of 21 KB per second and member.
func TestIdleCost(t *testing.T) {
	const seconds = 60
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprintf("size %d", size), func(t *testing.T) {
			runScenario(t, size, 1, func(t *testing.T, c *cluster) {
				leader := c.waitForLeader()
				time.Sleep(5 * time.Second)
				for at := range c.disks {
					c.network.takeCounts(address(at))
				}
				time.Sleep(seconds * time.Second)
				for at := range c.disks {
					packets, bytes := c.network.takeCounts(address(at))
					t.Logf("leader %t: %d packets, %d bytes a second sent", at == leader, packets/seconds, bytes/seconds)
					require.Less(t, bytes/seconds, 21_000)
				}
			})
		})
	}
}

// Guards against elections that outlast the leases of 2 s: a new leader is expected within about 1.5 s, so the median
// must be below that, and every election shorter than the lease duration.
func TestTimeToNewLeader(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("size %d", size), func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(40) {
				runScenario(t, size, seed, func(_ *testing.T, c *cluster) {
					time.Sleep(time.Second)
					c.crash(c.waitForLeader())
					crashed := time.Now()
					c.waitForLeader()
					times = append(times, time.Since(crashed))
				})
			}
			slices.Sort(times)
			t.Logf("median %v, 95th percentile %v, longest %v of %d", times[len(times)/2], times[len(times)*95/100], times[len(times)-1], len(times))
			require.Less(t, times[len(times)/2], 1500*time.Millisecond)
			require.Less(t, times[len(times)-1], LeaseDuration)
		})
	}
}

// Guards against a commit that waits for more consecutive syncs than group commit needs: a follower's sync in progress,
// one that the first entry of a burst starts alone, and the one that covers the entry. The bound allows one more. Syncs
// take 5 ms and packets 1.5 ms, as between data centres; processor time counts as zero.
func TestCommitLatency(t *testing.T) {
	const (
		syncTime = 5 * time.Millisecond
		// The race detector of Go 1.26 aborts after some tens of thousands of timers in one synctest bubble.
		loadTime = 500 * time.Millisecond
	)
	for _, clients := range []int{1, 16, 256} {
		t.Run(fmt.Sprintf("%d clients", clients), func(t *testing.T) {
			runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
				// Without this, the time of frequent snapshots would add to the commit latency.
				c.configure = func(s *Settings) { s.SnapshotEntries, s.SegmentBytes = 1<<30, vwstore.DefaultSegmentBytes }
				crashAll(c)
				c.network.setOrdered(1500 * time.Microsecond)
				for _, disk := range c.disks {
					disk.SetSyncDelay(syncTime)
				}
				latencies := c.measureCommits(clients, time.Second)
				p99 := latencies[len(latencies)*99/100]
				t.Logf("%d commits a second, median %v, 99th percentile %v", len(latencies), latencies[len(latencies)/2], p99)
				require.Less(t, p99, 4*syncTime+2*1500*time.Microsecond)
			})
		})
	}
}

// measureCommits proposes from concurrent clients at the leader for a period and returns the sorted latencies.
func (c *cluster) measureCommits(clients int, period time.Duration) []time.Duration {
	m := c.member(c.waitForLeader())
	var mu sync.Mutex
	var latencies []time.Duration
	group := vwgroup.Make(context.Background())
	end := time.Now().Add(period)
	for range clients {
		group.Go(func(ctx context.Context) error {
			for time.Now().Before(end) {
				sent := time.Now()
				if _, err := m.Client().Propose(ctx, vwstate.Command{Finish: &vwstate.Finish{}}); err != nil {
					return err
				}
				mu.Lock()
				latencies = append(latencies, time.Since(sent))
				mu.Unlock()
			}
			return nil
		})
	}
	require.NoError(c.t, group.Wait())
	slices.Sort(latencies)
	return latencies
}
