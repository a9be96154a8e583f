// Package vwbackend calls the backend server beside an agent over HTTP. No call is ever repeated, and
// each error tells by its verdict whether the task may have run.
package vwbackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Names of the headers of a task.
const (
	HeaderSubmissionID = "Submission-Id"
	HeaderTaskID       = "Task-Id"
	HeaderEpoch        = "Epoch"
)

const (
	// MaxConnections is how many connections a backend server accepts.
	MaxConnections = 64
	// DefaultSlots is how many tasks a backend server runs at a time.
	DefaultSlots = 8
	// DefaultMaxAnswer leaves room for the other fields of a result in one message of 16 MiB.
	DefaultMaxAnswer = 15 << 20
	// idleTimeout is below the usual idle timeouts of servers, so that a request seldom meets a
	// connection that the server is just closing.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxErrorMessage bounds what an error quotes of an answer.
	maxErrorMessage = 512
)

// Settings bound the calls of a Client. Zero values take the defaults.
type Settings struct {
	Slots     int
	MaxAnswer int64
	// Dial opens connections, by TCP when it is nil.
	Dial Dial
}

// Client calls a backend server. It is safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport
	slots     chan struct{}
}

// Make returns a client without connections.
func Make(settings Settings) (*Client, error) {
	if settings.Slots == 0 {
		settings.Slots = DefaultSlots
	}
	if settings.MaxAnswer == 0 {
		settings.MaxAnswer = DefaultMaxAnswer
	}
	if settings.Dial == nil {
		settings.Dial = dialTCP
	}
	if settings.Slots < 0 || settings.Slots > MaxConnections {
		return nil, trace.BadParameter("slots must be from 1 to %d, not %d", MaxConnections, settings.Slots)
	}
	if settings.MaxAnswer < 0 {
		return nil, trace.BadParameter("the limit of an answer must be positive, not %d", settings.MaxAnswer)
	}
	return &Client{settings: settings, slots: make(chan struct{}, settings.Slots), transport: makeTransport(settings.Dial)}, nil
}

func makeTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:            counted(dial),
		MaxConnsPerHost:        MaxConnections,
		MaxIdleConns:           MaxConnections,
		MaxIdleConnsPerHost:    MaxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Run has the backend server run a task and returns the result. It waits while as many tasks run as
// there are slots; the timeout of the task counts after that.
func (c *Client) Run(ctx context.Context, task Task) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, vwverdict.Wrap(vwverdict.NotRun, trace.Wrap(ctx.Err()))
	case c.slots <- struct{}{}:
	}
	defer func() { <-c.slots }()
	if task.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, task.Timeout)
		defer cancel()
	}
	return c.call(ctx, task)
}

func (c *Client) call(ctx context.Context, task Task) ([]byte, error) {
	var used use
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.begin(info.Conn) },
	})
	request, err := makeRequest(ctx, task)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, trace.Wrap(err))
	}
	// The transport is used without http.Client, which would follow redirects.
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, failure(ctx, task.Address, &used, err)
	}
	defer func() { _ = response.Body.Close() }()
	payload, err := c.readAnswer(response)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, vwverdict.Wrap(vwverdict.Ran, &ErrStatus{Status: response.StatusCode, Message: quote(payload)})
	}
	return payload, nil
}

// failure marks the error of a round trip. The transport has stopped writing when it returns one.
func failure(ctx context.Context, address Address, used *use, err error) error {
	switch {
	case used.wrote():
		return vwverdict.Wrap(vwverdict.MayHaveRun, trace.ConnectionProblem(err, "calling the backend server"))
	case used.conn == nil && ctx.Err() == nil:
		return vwverdict.Wrap(vwverdict.NotRun, &ErrUnreachable{Address: address, Err: err})
	}
	return vwverdict.Wrap(vwverdict.NotRun, trace.ConnectionProblem(err, "the call ended before the request was written"))
}

func makeRequest(ctx context.Context, task Task) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, task.Address.taskURL(task.Service), bytes.NewReader(task.Payload))
	if err != nil {
		return nil, err
	}
	// The transport repeats a request on another connection only when it can get the body again.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderSubmissionID, string(task.SubmissionID))
	request.Header.Set(HeaderTaskID, string(task.TaskID))
	request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(task.Epoch), 10))
	return request, nil
}

func (c *Client) readAnswer(response *http.Response) ([]byte, error) {
	if response.ContentLength > c.settings.MaxAnswer {
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, &ErrAnswerTooLarge{Limit: c.settings.MaxAnswer})
	}
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(response.Body, c.settings.MaxAnswer+1)); err != nil {
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, trace.ConnectionProblem(err, "reading the answer of the backend server"))
	}
	if int64(buffer.Len()) > c.settings.MaxAnswer {
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, &ErrAnswerTooLarge{Limit: c.settings.MaxAnswer})
	}
	return buffer.Bytes(), nil
}

func quote(payload []byte) string {
	text := string(payload[:min(len(payload), maxErrorMessage)])
	return strings.TrimSpace(strings.ToValidUTF8(text, "?"))
}
