package vwintake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// callerTime is how long the callers of servePipe wait for the answers to requests for /patient.
const callerTime = time.Minute

// servePipe serves one connection, whose other end is returned, and responds with the size of the body. The body of a request for
// /unread is not read.
func servePipe(t *testing.T, budget *Budget) net.Conn {
	t.Helper()
	client, conn := net.Pipe()
	listener := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
	listener.conns <- conn
	server := &http.Server{ConnState: SetState, Handler: budget.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		until := time.Time{}
		if r.URL.Path == "/patient" {
			until = time.Now().Add(callerTime)
		}
		text, holding, err := budget.ReadBodyUntil(w, r, 1<<20, until)
		defer budget.Release(holding)
		var refused ErrRefused
		switch {
		case errors.As(err, &refused):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = fmt.Fprint(w, len(text))
	}))}
	group := vwgroup.Make(context.Background())
	group.Run(func(context.Context) { _ = server.Serve(budget.Limit(listener, Port{})) })
	t.Cleanup(func() {
		_ = client.Close()
		require.NoError(t, server.Close())
		require.NoError(t, group.Wait())
	})
	return client
}

// Guards against a bound on the time of a whole body, which cuts slow links, and against bodies that keep their connection without
// progress. Such a body is refused for now, not as invalid: a caller whose link or whose process stood still would not send again.
func TestProgressDecidesAboutSlowBodies(t *testing.T) {
	cases := map[string]struct {
		part   int
		pause  time.Duration
		status int
	}{
		"slow link":  {256, 4900 * time.Millisecond, http.StatusOK},
		"trickle":    {1, time.Second, http.StatusServiceUnavailable},
		"stops":      {16000, time.Hour, http.StatusServiceUnavailable},
		"quick link": {4096, time.Millisecond, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := Make(SettingsFor(0))
				client := servePipe(t, budget)
				group := vwgroup.Make(context.Background())
				group.Run(func(context.Context) {
					const size = 32768
					_, _ = fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
					for sent := 0; sent < size; sent += c.part {
						if _, err := io.WriteString(client, strings.Repeat("x", min(c.part, size-sent))); err != nil {
							return
						}
						time.Sleep(c.pause)
					}
				})
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.Equal(t, c.status, response.StatusCode)
				require.Equal(t, c.status != http.StatusOK, response.Close)
				_ = client.Close()
				require.NoError(t, group.Wait())
				require.Zero(t, budget.Held())
			})
		})
	}
}

// Guards against bodies that no handler reads and that never end: the server waits for their rest before it responds, and their
// connections are not closed for others.
func TestUnreadBodiesEnd(t *testing.T) {
	for name, field := range map[string]string{"declared": "Content-Length: 5", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := servePipe(t, Make(SettingsFor(0)))
				_, err := fmt.Fprintf(client, "POST /unread HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n1", field)
				require.NoError(t, err)
				require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.True(t, response.Close)
			})
		})
	}
}

// Guards against responses that a caller does not read and that hold their connection for good, and against a bound that cuts callers
// who read slowly.
func TestResponsesHaveToBeTaken(t *testing.T) {
	for name, pause := range map[string]time.Duration{"reads slowly": 9 * time.Second, "does not read": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, conn := net.Pipe()
				listener := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
				listener.conns <- conn
				accepted, err := Make(SettingsFor(0)).Limit(listener, Port{Connections: 1}).Accept()
				require.NoError(t, err)
				group := vwgroup.Make(context.Background())
				group.Run(func(context.Context) {
					for text := make([]byte, writeBytes); ; {
						time.Sleep(pause)
						if _, err := io.ReadFull(client, text); err != nil {
							return
						}
					}
				})
				n, err := accepted.Write(make([]byte, 5*writeBytes))
				if pause < writeTimeout {
					require.NoError(t, err)
					require.Equal(t, 5*writeBytes, n)
				} else {
					require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				}
				require.NoError(t, accepted.Close())
				require.NoError(t, group.Wait())
			})
		})
	}
}

// Guards against a body that keeps its connection when its caller no longer waits for the answer: it is refused at that time.
func TestBodiesEndWithTheTimeOfTheirCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, begun := Make(SettingsFor(0)), time.Now()
		client := servePipe(t, budget)
		group := vwgroup.Make(context.Background())
		group.Run(func(context.Context) {
			_, _ = fmt.Fprint(client, "POST /patient HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
			for {
				if _, err := io.WriteString(client, strings.Repeat("x", 300)); err != nil {
					return
				}
				time.Sleep(3 * time.Second)
			}
		})
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, callerTime, time.Since(begun))
		require.Equal(t, uint64(1), budget.Refused(Late))
		_ = client.Close()
		require.NoError(t, group.Wait())
	})
}
