package vwprocess

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var silent = slog.New(slog.NewTextHandler(io.Discard, nil))

func get(t *testing.T, address string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// A service that is of no use yet must leave its port closed, or callers are refused who would have come back.
func TestServiceListensOnceItServes(t *testing.T) {
	var serves atomic.Bool
	services, err := listenServices([]Service{
		{Address: "127.0.0.1:0", Handler: http.NotFoundHandler()},
		{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), Serves: serves.Load},
	}, silent)
	require.NoError(t, err)
	services.start()
	t.Cleanup(services.kill)
	time.Sleep(4 * serveInterval)
	addresses := services.addresses()
	require.Equal(t, http.StatusNotFound, get(t, addresses[0]))
	require.Empty(t, addresses[1])
	serves.Store(true)
	require.Eventually(t, func() bool { return services.addresses()[1] != "" }, 10*time.Second, serveInterval)
	require.Equal(t, http.StatusNotFound, get(t, services.addresses()[1]))
	require.NoError(t, services.stop(t.Context()))
}

// A process that stops must not begin to listen any more.
func TestStoppedServicesDoNotListen(t *testing.T) {
	var asked atomic.Int64
	services, err := listenServices([]Service{{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), Serves: func() bool { return asked.Add(1) > 3 }}}, silent)
	require.NoError(t, err)
	require.NoError(t, services.stop(context.Background()))
	services.start()
	time.Sleep(10 * serveInterval)
	require.Equal(t, []string{""}, services.addresses())
}

// When one address is taken none may stay bound.
func TestServicesBindAllOrNone(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	_, err = listenServices([]Service{{Address: address, Handler: http.NotFoundHandler()}, {Address: taken.Addr().String(), Handler: http.NotFoundHandler()}}, silent)
	require.Error(t, err)
	again, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}
