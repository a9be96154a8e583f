package vwlink

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Guards against links whose peers do not read and that hold more than the memory of the process together, each within a bound of its
// own, and against one of them that keeps the messages of all others out.
func TestQueuesOfAllLinksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := makeQueueLimit()
		limit.set(vwmessage.MaxEnvelope)
		group := vwgroup.Make(context.Background())
		message := &vwmessage.Propose{Command: make([]byte, 64<<10)}
		var conns []*streamConn
		open := func() *streamConn {
			near, far := net.Pipe()
			conn := makeStreamConn(Peer{}, DefaultTiming, true, near, nil, near.Close, limit)
			conns = append(conns, conn)
			group.Run(conn.write)
			t.Cleanup(func() { _ = far.Close() })
			return conn
		}
		send := func(conn *streamConn) error {
			envelope, err := vwmessage.Seal(message, 0, false)
			require.NoError(t, err)
			return conn.Send(t.Context(), envelope)
		}
		fill := func(conn *streamConn) (sent int) {
			for send(conn) == nil {
				sent++
			}
			return sent
		}
		require.Positive(t, fill(open()))
		synctest.Wait()
		other := open()
		for range 3 {
			require.NoError(t, send(other), "another peer gets its messages")
			synctest.Wait()
		}
		for range 8 {
			require.Positive(t, fill(open()))
		}
		require.LessOrEqual(t, limit.queued.Load(), int64(vwmessage.MaxEnvelope)+int64(vwunit.MiB), "each link may have one message beyond the limit")
		for _, conn := range conns {
			require.NoError(t, conn.Close())
		}
		require.NoError(t, group.Wait())
		require.Zero(t, limit.queued.Load(), "what closed links held is given back")
	})
}
