package vwclient

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// sender sends calls to a list of entries. It is safe for concurrent use.
type sender struct {
	settings Settings
	http     *http.Client
	// current counts the changes of entry; callers stay with one that works.
	current atomic.Uint32
}

func makeSender(settings Settings) (*sender, error) {
	settings, err := settings.complete()
	if err != nil {
		return nil, err
	}
	s := &sender{settings: settings}
	s.http = &http.Client{
		Transport: settings.Transport,
		// A redirect would send the body again without a look at the verdict.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	s.current.Store(rand.Uint32N(uint32(len(settings.Entries))))
	return s, nil
}

// send makes attempts until one succeeds, the rules of the call end them, or ctx would end first.
func (s *sender) send(ctx context.Context, c call) error {
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, s.settings.Patience)
		defer cancel()
		ctx = limited
	}
	due := pauses{next: s.settings.FirstPause, max: s.settings.MaxPause}
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		current := s.current.Load()
		f := s.attempt(ctx, &c, s.settings.Entries[int(current)%len(s.settings.Entries)])
		if f == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || f.verdict != vwverdict.NotRun
		s.current.CompareAndSwap(current, current+1)
		if ctx.Err() != nil || !c.again(f) || !due.wait(ctx, f.asked) {
			return f.join(&c, mayHaveRun, attempts)
		}
	}
}

// attempt sends the call once. Nil means that a whole answer was decoded.
func (s *sender) attempt(ctx context.Context, c *call, entry string) *failure {
	if c.repeatable {
		limited, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout)
		defer cancel()
		ctx = limited
	}
	var dialled connection
	request, err := http.NewRequestWithContext(dialled.trace(ctx), c.method, entry+c.path, bytes.NewReader(c.body))
	if err != nil {
		return &failure{verdict: vwverdict.NotRun, err: trace.Wrap(err), final: true}
	}
	if len(c.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.http.Do(request)
	if err != nil {
		return &failure{verdict: dialled.verdict(), err: trace.Wrap(err)}
	}
	defer func() { _ = response.Body.Close() }()
	return s.readAnswer(c, response)
}

func (s *sender) readAnswer(c *call, response *http.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(response.Body, s.settings.MaxAnswer+1))
	switch {
	case err != nil:
		return &failure{err: trace.Wrap(err, "the answer ended early")}
	case int64(len(body)) > s.settings.MaxAnswer:
		return &failure{err: &ErrTooLarge{Limit: s.settings.MaxAnswer}, final: true}
	case response.StatusCode/100 != 2 || isProblem(response):
		return makeFailure(response, body)
	}
	if err := c.decode(response.StatusCode, body); err != nil {
		return &failure{err: trace.Wrap(err, "the answer is not whole")}
	}
	return nil
}

// connection follows whether an attempt got a connection. Without one, nothing was sent.
type connection struct {
	asked atomic.Bool
	got   atomic.Bool
}

func (c *connection) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { c.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { c.got.Store(true) },
	})
}

// verdict returns NotRun only when the transport asked for a connection and got none. A transport that
// does not report its connections leaves it open.
func (c *connection) verdict() vwverdict.Verdict {
	if c.asked.Load() && !c.got.Load() {
		return vwverdict.NotRun
	}
	return vwverdict.MayHaveRun
}
