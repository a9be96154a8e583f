package vwprocess_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// Guards against a start that goes on, and opens ports, after the process has been stopped during it.
func TestStopDuringStartEndsTheStart(t *testing.T) {
	const startsFor = 200 * time.Millisecond
	free, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	files, err := vwstore.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	_, err = vwprocess.StartControl(ctx, vwprocess.ControlConfig{
		Cluster: "c", Process: "a", LinkAddress: loopback, Member: vwprocess.MemberConfig{Files: files},
		Keys: makeKeys(t, "c", "a"), Log: slog.New(slog.DiscardHandler),
		Services: func(*vwprocess.Control) []vwprocess.Service {
			stop()
			time.Sleep(startsFor)
			return []vwprocess.Service{{Address: address, Handler: http.NotFoundHandler()}}
		},
	})
	require.ErrorIs(t, err, context.Canceled)
	time.Sleep(2 * startsFor)
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	require.Error(t, err, "the stopped process listens")
}
