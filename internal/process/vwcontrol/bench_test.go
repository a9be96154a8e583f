package vwcontrol

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// BenchmarkCommit measures proposals at the leader, each synced to real directories of a majority. All members share one
// disk, and a packet takes 50 to 150 microseconds.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/clients=%d", size, clients), func(b *testing.B) { benchmarkCommit(b, size, clients) })
		}
	}
}

func benchmarkCommit(b *testing.B, size, clients int) {
	network := makeNetwork(1)
	network.delay = 100 * time.Microsecond
	var initial []string
	for at := range size {
		initial = append(initial, address(at))
	}
	var members []*Member
	for at := range size {
		files, err := vwstore.OpenDirectory(b.TempDir())
		require.NoError(b, err)
		settings := DefaultSettings(address(at), initial)
		settings.Logger = slog.New(slog.DiscardHandler)
		m, err := Start(context.Background(), settings, files, endpoint{network, address(at)})
		require.NoError(b, err)
		defer func() { _ = m.Kill() }()
		members = append(members, m)
	}
	leader := findLeader(b, members)
	register := vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "entry"}}}
	_, err := leader.Client().Propose(context.Background(), register)
	require.NoError(b, err)
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	group := vwgroup.Make(context.Background())
	b.ResetTimer()
	for range clients {
		group.Go(func(ctx context.Context) error {
			for at := next.Add(1) - 1; at < int64(b.N); at = next.Add(1) - 1 {
				accept := &vwstate.Accept{SubmissionID: vwid.MakeSubmissionID(), Owner: "entry", Service: "service", Digest: make([]byte, 32)}
				sent := time.Now()
				if _, err := leader.Client().Propose(ctx, vwstate.Command{Accept: accept}); err != nil {
					return err
				}
				latencies[at] = time.Since(sent)
			}
			return nil
		})
	}
	require.NoError(b, group.Wait())
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
}

func findLeader(b *testing.B, members []*Member) *Member {
	for range 1000 {
		for _, m := range members {
			if m.Status().Log.TermCommitted {
				return m
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}
