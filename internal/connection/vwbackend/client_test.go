package vwbackend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// pipeServer is a backend server on in-memory connections, which work with the fake clock. It counts
// the requests that reach it.
type pipeServer struct {
	conns   chan net.Conn
	done    chan struct{}
	handler http.HandlerFunc

	dials    atomic.Int32
	requests atomic.Int32

	mu     sync.Mutex
	active int
	most   int
}

func (s *pipeServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

func (s *pipeServer) Close() error   { return nil }
func (s *pipeServer) Addr() net.Addr { return &net.TCPAddr{} }

func (s *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.dials.Add(1)
	s.conns <- far
	return near, nil
}

func (s *pipeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	s.enter(1)
	defer s.enter(-1)
	s.handler(w, r)
}

func (s *pipeServer) enter(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += change
	s.most = max(s.most, s.active)
}

// withServer runs check with a client of a server that answers as handler does.
func withServer(t *testing.T, handler http.HandlerFunc, check func(t *testing.T, s *pipeServer, c *vwbackend.Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := &pipeServer{conns: make(chan net.Conn, 100), done: make(chan struct{}), handler: handler}
		server := &http.Server{Handler: s}
		group := vwgroup.Make(t.Context())
		group.Run(func(context.Context) { _ = server.Serve(s) })
		c, err := vwbackend.Make(vwbackend.Settings{Dial: s.dial, MaxAnswer: 1000})
		require.NoError(t, err)
		check(t, s, c)
		c.Close()
		close(s.done)
		require.NoError(t, server.Close())
		require.NoError(t, group.Stop())
	})
}

func task(payload string) vwbackend.Task {
	return vwbackend.Task{
		Address: "http://backend:80", Service: "pedidos", SubmissionID: "s", TaskID: "t", Epoch: 7,
		Payload: []byte(payload), Timeout: time.Second,
	}
}

// hang leaves the connection open and never answers.
func hang(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// cut closes the connection without an answer.
func cut(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(code)
		_, _ = w.Write([]byte("why"))
	}
}

// A verdict that is too good permits a retry of a task that has run.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		verdict vwverdict.Verdict
		is      func(error) bool
	}{
		"success":         {status(http.StatusOK), vwverdict.Ran, func(err error) bool { return err == nil }},
		"failure":         {status(http.StatusInternalServerError), vwverdict.Ran, vwbackend.IsStatus},
		"redirect":        {status(http.StatusTemporaryRedirect), vwverdict.Ran, vwbackend.IsStatus},
		"no content":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, vwverdict.Ran, vwbackend.IsStatus},
		"no answer":       {cut, vwverdict.MayHaveRun, nil},
		"timeout":         {hang, vwverdict.MayHaveRun, nil},
		"answer is large": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1001)) }, vwverdict.MayHaveRun, vwbackend.IsAnswerTooLarge},
		"stream is large": {func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write(make([]byte, 5000))
		}, vwverdict.MayHaveRun, vwbackend.IsAnswerTooLarge},
		"answer is cut": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, vwverdict.MayHaveRun, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withServer(t, c.handler, func(t *testing.T, s *pipeServer, client *vwbackend.Client) {
				begun := time.Now()
				_, err := client.Run(t.Context(), task("1"))
				require.Equal(t, c.verdict, vwverdict.Of(err), "%v", err)
				if c.is != nil {
					require.True(t, c.is(err), "%v", err)
				}
				require.LessOrEqual(t, time.Since(begun), time.Second)
				require.EqualValues(t, 1, s.requests.Load())
			})
		})
	}
}

// A backend server must get each task once, whatever happens to a reused connection. A plain client
// with a request that net/http takes for idempotent shows that the server would see a repetition.
func TestNothingIsRepeated(t *testing.T) {
	var answers atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if answers.Add(1) == 1 {
			_, _ = w.Write([]byte("ok"))
			return
		}
		cut(w, r)
	}
	for name, payload := range map[string]string{"with payload": "1", "without payload": "", "large payload": strings.Repeat("1", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			answers.Store(0)
			withServer(t, handler, func(t *testing.T, s *pipeServer, c *vwbackend.Client) {
				_, err := c.Run(t.Context(), task(payload))
				require.NoError(t, err)
				_, err = c.Run(t.Context(), task(payload))
				require.Equal(t, vwverdict.MayHaveRun, vwverdict.Of(err))
				require.EqualValues(t, 2, s.requests.Load())
				require.EqualValues(t, 1, s.dials.Load(), "the second request did not reuse the connection")
			})
		})
	}
	t.Run("plain client repeats", func(t *testing.T) {
		answers.Store(0)
		withServer(t, handler, func(t *testing.T, s *pipeServer, _ *vwbackend.Client) {
			transport := &http.Transport{DialContext: s.dial}
			defer transport.CloseIdleConnections()
			for range 2 {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://backend/", strings.NewReader("1"))
				require.NoError(t, err)
				request.Header.Set("Idempotency-Key", "1")
				if response, err := transport.RoundTrip(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			require.Greater(t, s.requests.Load(), int32(2))
		})
	})
}

// A kept connection that went silent must cost one task its timeout and never be used again.
func TestSilentConnectionIsNotReused(t *testing.T) {
	var silent atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			hang(w, r)
		}
	}
	withServer(t, handler, func(t *testing.T, s *pipeServer, c *vwbackend.Client) {
		_, err := c.Run(t.Context(), task("1"))
		require.NoError(t, err)
		silent.Store(true)
		begun := time.Now()
		_, err = c.Run(t.Context(), task("2"))
		require.Equal(t, vwverdict.MayHaveRun, vwverdict.Of(err))
		require.Equal(t, time.Second, time.Since(begun))
		require.EqualValues(t, 1, s.dials.Load())
		silent.Store(false)
		_, err = c.Run(t.Context(), task("3"))
		require.NoError(t, err)
		require.EqualValues(t, 2, s.dials.Load())
		require.EqualValues(t, 3, s.requests.Load())
	})
}

// More calls than slots must wait, and one that is given up meanwhile has not run.
func TestSlotsBoundCalls(t *testing.T) {
	handler := func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }
	withServer(t, handler, func(t *testing.T, s *pipeServer, c *vwbackend.Client) {
		group := vwgroup.Make(t.Context())
		for range 20 {
			group.Go(func(ctx context.Context) error {
				_, err := c.Run(ctx, task("1"))
				return err
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.Run(ctx, task("1"))
		require.True(t, vwverdict.IsNotRun(err))
		require.NoError(t, group.Wait())
		require.Equal(t, vwbackend.DefaultSlots, s.most)
		require.LessOrEqual(t, s.dials.Load(), int32(vwbackend.DefaultSlots))
		require.EqualValues(t, 20, s.requests.Load())
	})
}

// The backend server must learn which task it runs, and a refused dial must leave the task unrun.
func TestOnSockets(t *testing.T) {
	var path, body string
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		path, body, header = r.URL.EscapedPath(), string(text), r.Header
		_, _ = w.Write([]byte("result"))
	}))
	c, err := vwbackend.Make(vwbackend.Settings{})
	require.NoError(t, err)
	defer c.Close()
	address, err := vwbackend.ParseAddress(server.Listener.Addr().String())
	require.NoError(t, err)
	call := task("payload")
	call.Address, call.Service, call.Timeout = address, "a b", 0
	result, err := c.Run(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, "result", string(result))
	require.Equal(t, "/Tasks/a%20b", path)
	require.Equal(t, "payload", body)
	require.Equal(t, []string{"s", "t", "7"}, []string{header.Get("Submission-Id"), header.Get("Task-Id"), header.Get("Epoch")})
	server.Close()
	// A kept connection may not show its end yet; a write to it may have reached the server.
	c.Close()
	_, err = c.Run(t.Context(), call)
	require.True(t, vwverdict.IsNotRun(err), "%v", err)
	require.True(t, vwbackend.IsUnreachable(err))
	var opError *net.OpError
	require.True(t, errors.As(err, &opError))
}

// A wrong address must be refused at the announcement and not at the first task.
func TestParseAddress(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"host and port":  {"127.0.0.1:80", "http://127.0.0.1:80"},
		"with a path":    {"http://127.0.0.1:80/base/", "http://127.0.0.1:80/base"},
		"no port":        {"127.0.0.1", ""},
		"no host":        {":80", ""},
		"empty":          {"", ""},
		"other scheme":   {"https://127.0.0.1:80", ""},
		"with a query":   {"http://127.0.0.1:80?a=b", ""},
		"largest port":   {"127.0.0.1:65535", "http://127.0.0.1:65535"},
		"port too large": {"127.0.0.1:70000", ""},
		"port zero":      {"127.0.0.1:0", ""},
		"long port":      {"127.0.0.1:" + strings.Repeat("9", 400), ""},
		"with a user":    {"http://a:b@127.0.0.1:80", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := vwbackend.ParseAddress(c.text)
			require.Equal(t, vwbackend.Address(c.want), got)
			require.Equal(t, c.want == "", err != nil)
		})
	}
}
