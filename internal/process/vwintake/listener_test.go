package vwintake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// serveLimited serves requests over at most so many connections and returns the address. A request for /wait waits for release.
func serveLimited(t *testing.T, budget *Budget, connections int, release <-chan struct{}) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: budget.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/wait" {
				<-release
			}
			if err == nil {
				_, _ = fmt.Fprint(w, "answer")
			}
		})),
		ConnState: SetState, ConnContext: WithConn,
	}
	group := vwgroup.Make(context.Background())
	limited := budget.Limit(listener, Port{Connections: connections})
	group.Run(func(context.Context) { _ = server.Serve(limited) })
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, group.Wait())
		require.Eventually(t, func() bool { return budget.Held() == 0 }, 10*time.Second, time.Millisecond, "what connections held is given back")
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(text))
	require.NoError(t, err)
	return conn
}

// Guards against callers that hold all connections open without a request: they must make room for one that has a request, and one
// whose request is in progress must keep its connection.
func TestConnectionsWithoutRequestsMakeRoom(t *testing.T) {
	settings := SettingsFor(0)
	settings.StallTime = time.Millisecond
	budget, release := Make(settings), make(chan struct{})
	address := serveLimited(t, budget, 4, release)
	busy := dial(t, address, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 10 {
		dial(t, address, "")
		dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n")
	}
	ordinary := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Positive(t, budget.Refused(Connections))
}

// Guards against heads that are held beside the budget: one that finds no room must end its connection, and small heads must be
// served beside it.
func TestLargeHeadsAreWeighed(t *testing.T) {
	settings := SettingsFor(0)
	settings.Total, settings.Reserve = 48*vwunit.KiB, 0
	budget, release := Make(settings), make(chan struct{})
	address := serveLimited(t, budget, 0, release)
	head := "GET / HTTP/1.1\r\nHost: x\r\nOther: " + strings.Repeat("x", 16<<10)
	first := dial(t, address, head)
	require.Eventually(t, func() bool { return budget.Held() > 32*vwunit.KiB }, 10*time.Second, time.Millisecond)
	second := dial(t, address, head)
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "there is no room for a second head")
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	ordinary := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	response, err = http.ReadResponse(bufio.NewReader(ordinary), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err = first.Write([]byte("\r\n\r\n"))
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "the head that found room is served")
	require.Eventually(t, func() bool { return budget.Held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against heads whose fields take many times their bytes when they are decoded, and against a refusal of lines that follow a head.
func TestFieldsOfHeadsAreWeighed(t *testing.T) {
	budget, release := Make(SettingsFor(0)), make(chan struct{})
	address := serveLimited(t, budget, 0, release)
	const head = "GET /wait HTTP/1.1\r\nHost: x\r\n"
	dial(t, address, head+strings.Repeat("a:\r\n", 500))
	require.Eventually(t, func() bool { return budget.Held() > 60*vwunit.KiB }, 10*time.Second, time.Millisecond)
	close(release)
	ordinary := dial(t, address, head+"Content-Length: 500\r\n\r\n"+strings.Repeat("\n", 500))
	response, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 3, countFields([]byte(head+"A: b\r\nC: d\r\n\r\n\n\n\n")))
}

// Guards against a request that is served although its connection is closed for another one, and against a closed connection that
// stays in the list, which would keep a full listener from closing others.
func TestConnectionsThatLoseTheirPlaceServeNoRequest(t *testing.T) {
	settings := SettingsFor(0)
	settings.StallTime = 0
	client, end := net.Pipe()
	listener := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
	listener.conns <- end
	limited := Make(settings).Limit(listener, Port{Connections: 1})
	conn, err := limited.Accept()
	require.NoError(t, err)
	victim, _ := limited.takeVictim(time.Now())
	require.Same(t, conn, victim)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { SetState(conn, http.StateActive) })
	require.NoError(t, conn.Close())
	SetState(conn, http.StateIdle)
	victim, _ = limited.takeVictim(time.Now())
	require.Nil(t, victim)
	require.NoError(t, client.Close())
}

// Guards against bodies that arrive slowly and keep all connections from others, and against a cut of a body that is fast, or of a
// request whose body has come.
func TestSlowBodiesMakeRoom(t *testing.T) {
	settings := SettingsFor(0)
	settings.StallTime = 50 * time.Millisecond
	budget, release := Make(settings), make(chan struct{})
	address := serveLimited(t, budget, 4, release)
	const head = "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"
	waiting := dial(t, address, fmt.Sprintf(head, "/wait")+strings.Repeat("x", 100000))
	fast := dial(t, address, fmt.Sprintf(head, "/")+strings.Repeat("x", 90000))
	for range 10 {
		dial(t, address, fmt.Sprintf(head, "/")+"x")
	}
	ordinary := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	requireAnswer(t, ordinary)
	_, err := fast.Write([]byte(strings.Repeat("x", 10000)))
	require.NoError(t, err)
	requireAnswer(t, fast)
	close(release)
	requireAnswer(t, waiting)
	require.Positive(t, budget.Refused(Slow))
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a request that runs although its connection was closed for another before the end of its body.
func TestBodyWhoseConnectionHasLostItsPlaceDoesNotEnd(t *testing.T) {
	for name, loses := range map[string]bool{"keeps its place": false, "loses its place": true} {
		t.Run(name, func(t *testing.T) {
			settings := SettingsFor(0)
			settings.StallTime = 0
			client, end := net.Pipe()
			listener := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
			listener.conns <- end
			limited := Make(settings).Limit(listener, Port{Connections: 1})
			accepted, err := limited.Accept()
			require.NoError(t, err)
			conn := accepted.(*Conn)
			SetState(conn, http.StateActive)
			conn.beginTransfer()
			body := &transferredBody{ReadCloser: io.NopCloser(strings.NewReader("body")), conn: conn}
			if loses {
				victim, reason := limited.takeVictim(time.Now())
				require.Same(t, conn, victim)
				require.Equal(t, Slow, reason)
			}
			text, err := io.ReadAll(body)
			require.Equal(t, "body", string(text))
			require.Equal(t, loses, err != nil)
			require.NoError(t, client.Close())
		})
	}
}
