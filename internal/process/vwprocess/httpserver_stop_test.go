package vwprocess

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Guards against a client that gets no response to a request on a connection that was open when the port closed.
func TestRequestsOnOpenConnectionsAreAnsweredAfterThePortCloses(t *testing.T) {
	const bound, whole = 30 * time.Second, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	cases := map[string]struct {
		// uses is whether the connection has served a request before.
		uses bool
		// before is what the client sends before the stop, and after what it sends once the port is closed.
		before, after string
	}{
		"idle connection":                {uses: true, after: whole},
		"header begun on new connection": {before: whole[:20], after: whole[20:]},
		"header begun on a used one":     {uses: true, before: whole[:20], after: whole[20:]},
		"body begun":                     {uses: true, before: "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab", after: "cd"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}, 1), make(chan struct{})
			s, err := listenHTTP("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" || r.Method == http.MethodPost {
					begun <- struct{}{}
				}
				if r.URL.Path == "/wait" {
					<-release
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}), orDefault(nil), vwintake.Port{})
			require.NoError(t, err)
			s.start()
			t.Cleanup(s.kill)

			// A request in progress keeps the stop from its end.
			clients := vwgroup.Make(t.Context())
			clients.Run(func(context.Context) {
				if response, err := http.Get("http://" + s.address() + "/wait"); err == nil {
					_ = response.Body.Close()
				}
			})
			<-begun
			conn, err := net.Dial("tcp", s.address())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			require.NoError(t, conn.SetDeadline(time.Now().Add(bound)))
			reader := bufio.NewReader(conn)
			if c.uses {
				requireResponse(t, conn, reader, whole)
			}
			_, err = io.WriteString(conn, c.before)
			require.NoError(t, err)
			if strings.HasPrefix(c.before, http.MethodPost) {
				<-begun
			}
			// A later connection is served, so this one has been accepted.
			later, err := net.Dial("tcp", s.address())
			require.NoError(t, err)
			requireResponse(t, later, bufio.NewReader(later), whole)
			require.NoError(t, later.Close())

			stopCtx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			stopping := vwgroup.Make(context.Background())
			stopping.Go(func(context.Context) error { return s.stop(stopCtx) })
			defer func() {
				close(release)
				require.NoError(t, stopping.Wait())
				require.NoError(t, clients.Wait())
			}()
			require.Eventually(t, func() bool {
				probe, err := net.Dial("tcp", s.address())
				if err == nil {
					_ = probe.Close()
				}
				return err != nil
			}, bound, time.Millisecond)
			requireResponse(t, conn, reader, c.after)
		})
	}
}

func requireResponse(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
}
