package vwlink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwboot"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Codes of Failure messages.
const (
	CodeUnsupported = "Unsupported"
	CodeRefused     = "Refused"
	CodeNotLeader   = "NotLeader"
)

// ErrRemote is a failure that the peer reported.
type ErrRemote struct {
	Code    string
	Message string
	Leader  string
}

// Error implements error.
func (e *ErrRemote) Error() string {
	return "peer reports " + e.Code + ": " + e.Message
}

// IsRemote reports whether the peer itself answered with a failure of the given code.
func IsRemote(err error, code string) bool {
	var remote *ErrRemote
	return errors.As(err, &remote) && remote.Code == code
}

// Reply answers one request. A nil body and a nil error close the matter without an answer, which
// is right for one-way messages only. It may be called from any goroutine, once.
type Reply func(body vwmessage.Body, err error)

// Handler receives the messages of a session, in the order in which the peer sent them. It must not
// block: a reply may be given later, from another goroutine.
type Handler interface {
	HandleMessage(session *Session, body vwmessage.Body, reply Reply)
}

// HandlerFunc is a Handler made of a function.
type HandlerFunc func(session *Session, body vwmessage.Body, reply Reply)

// HandleMessage implements Handler.
func (f HandlerFunc) HandleMessage(session *Session, body vwmessage.Body, reply Reply) {
	f(session, body, reply)
}

// Session runs requests and one-way messages over a link. It owns the link.
type Session struct {
	conn    Conn
	number  uint64
	handler Handler
	timing  Timing
	// pingAfter is how long nothing was sent when a ping is due. answersPings is set at the end that answers the pings of
	// its peer, and sends its own only if those do not come.
	pingAfter    time.Duration
	answersPings bool

	lastCall atomic.Uint64
	// opened is when the session was made. The times of messages are kept as durations since then, on the
	// monotonic clock: a step of the wall clock must not end links.
	opened time.Time
	heard  atomic.Int64
	sent   atomic.Int64
	// suspended returns for how long the machine has been suspended, which opened and the durations do not count.
	// heardSuspended is its value when the last message came.
	suspended      func(now time.Time) time.Duration
	heardSuspended atomic.Int64
	// previous is when the message before the one that is handled came. The receiving goroutine owns it.
	previous time.Duration

	mu      sync.Mutex
	pending map[uint64]chan callResult
	closed  error
	done    chan struct{}
}

type callResult struct {
	body vwmessage.Body
	err  error
}

// machineClock is shared by all sessions, so that each reads the kernel's clocks only after a jump.
var machineClock = vwboot.MakeMeter(vwboot.Suspended)

// MakeSession returns a session over conn. Run must be called for it to receive anything.
func MakeSession(conn Conn, handler Handler) *Session {
	s := &Session{
		conn: conn, number: numberOf(conn), handler: handler, timing: timingOf(conn), opened: time.Now(),
		pending: map[uint64]chan callResult{}, done: make(chan struct{}), suspended: machineClock.Suspended,
	}
	s.heardSuspended.Store(int64(s.suspended(s.opened)))
	s.pingAfter = s.timing.Ping
	if end, known := conn.(Dialled); known && end.IsDialled() {
		// A ping that is due must not be put off because the last one was sent a moment late.
		s.pingAfter = s.timing.Ping * 3 / 4
	} else if known {
		s.pingAfter, s.answersPings = s.timing.Ping*3/2, true
	}
	return s
}

// PreviousHeard returns when the message before the present one came, or when the session was made. The present
// one was sent after that, but for the time that messages are under way. Only a Handler may call it, before
// HandleMessage returns.
func (s *Session) PreviousHeard() time.Time {
	return s.opened.Add(s.previous)
}

// Peer returns the other end.
func (s *Session) Peer() Peer {
	return s.conn.Peer()
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} {
	return s.done
}

// Run receives until the link ends, falls silent or ctx ends, and returns the reason.
// Calls that wait for a reply end with verdict MayHaveRun.
func (s *Session) Run(ctx context.Context) error {
	group := vwgroup.Make(ctx)
	group.Go(s.receive)
	group.Go(s.watch)
	// The receiver of a link blocks in it until the link closes.
	stop := context.AfterFunc(group.Context(), func() { _ = s.conn.Close() })
	defer stop()
	err := group.Wait()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	s.end(err)
	return err
}

// watch sends pings on an idle link and ends the session when the peer is silent.
func (s *Session) watch(ctx context.Context) error {
	timer := time.NewTimer(s.untilNextCheck())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.done:
			return ErrClosed
		case <-timer.C:
			now := time.Now()
			age := now.Sub(s.opened)
			if s.silentFor(now) >= s.timing.Silence {
				return ErrSilent
			}
			if age-time.Duration(s.sent.Load()) >= s.pingAfter {
				if err := s.Send(ctx, &vwmessage.Ping{}); err != nil {
					return err
				}
			}
			timer.Reset(s.untilNextCheck())
		}
	}
}

// untilNextCheck returns the time until the next ping may be due or, if that is sooner, the peer counts as silent.
func (s *Session) untilNextCheck() time.Duration {
	now := time.Now()
	return min(s.timing.UntilNext(now, s.timing.Ping), s.timing.Silence-s.silentFor(now))
}

// silentFor returns how long the peer has sent nothing, with the time for which the machine was suspended.
func (s *Session) silentFor(now time.Time) time.Duration {
	suspended := s.suspended(now) - time.Duration(s.heardSuspended.Load())
	return now.Sub(s.opened) - time.Duration(s.heard.Load()) + suspended
}

// answerPing sends a ping in return for a one-way message if nothing was sent lately, at the end that leaves the pings to
// its peer. The answers to all pings of the peer then arrive there together.
func (s *Session) answerPing(ctx context.Context, envelope vwmessage.Envelope) error {
	if !s.answersPings || envelope.Call != 0 || time.Since(s.opened)-time.Duration(s.sent.Load()) < s.timing.Ping/2 {
		return nil
	}
	return s.Send(ctx, &vwmessage.Ping{})
}

func (s *Session) receive(ctx context.Context) error {
	for {
		envelope, err := s.conn.Receive(ctx)
		if err != nil {
			return err
		}
		if !s.noteHeard(time.Now()) {
			return ErrSilent
		}
		body, err := vwmessage.Open(envelope)
		if err != nil {
			s.refuse(ctx, envelope, err)
			return err
		}
		s.dispatch(ctx, envelope, body)
		if err := s.answerPing(ctx, envelope); err != nil {
			return err
		}
	}
}

// noteHeard notes that a message came. It reports false when the peer may have given the link up before: a
// process that stood still, or whose machine was suspended, finds messages in its buffers whose sender has long acted as if
// they were lost.
func (s *Session) noteHeard(now time.Time) bool {
	silent := s.silentFor(now) >= s.timing.Silence
	s.heardSuspended.Store(int64(s.suspended(now)))
	s.previous = time.Duration(s.heard.Swap(int64(now.Sub(s.opened))))
	return !silent
}

func (s *Session) refuse(ctx context.Context, envelope vwmessage.Envelope, cause error) {
	failure := &vwmessage.Failure{Verdict: vwverdict.NotRun, Code: CodeUnsupported, Message: cause.Error()}
	// The link closes either way, so a failure to send adds nothing.
	_ = s.send(ctx, failure, envelope.Call, true)
}

func (s *Session) dispatch(ctx context.Context, envelope vwmessage.Envelope, body vwmessage.Body) {
	if envelope.Reply {
		s.complete(envelope.Call, body)
		return
	}
	if _, isPing := body.(*vwmessage.Ping); isPing {
		return
	}
	s.handler.HandleMessage(s, body, func(answer vwmessage.Body, err error) {
		if envelope.Call == 0 || (answer == nil && err == nil) {
			return
		}
		if err != nil {
			answer = failureOf(err)
		}
		// A reply that cannot be sent means that the link is gone, and the caller learns that by itself.
		_ = s.send(ctx, answer, envelope.Call, true)
	})
}

func failureOf(err error) *vwmessage.Failure {
	failure := &vwmessage.Failure{Verdict: vwverdict.Of(err), Code: CodeRefused, Message: err.Error()}
	var remote *ErrRemote
	if errors.As(err, &remote) {
		failure.Code, failure.Message, failure.Leader = remote.Code, remote.Message, remote.Leader
	}
	return failure
}

func (s *Session) complete(call uint64, body vwmessage.Body) {
	s.mu.Lock()
	waiter := s.pending[call]
	delete(s.pending, call)
	s.mu.Unlock()
	// A late reply to a call that was given up has no waiter.
	if waiter == nil {
		return
	}
	if failure, ok := body.(*vwmessage.Failure); ok {
		remote := &ErrRemote{Code: failure.Code, Message: failure.Message, Leader: failure.Leader}
		waiter <- callResult{err: vwverdict.Wrap(failure.Verdict, remote)}
		return
	}
	waiter <- callResult{body: body}
}

// Send sends a one-way message. An error has verdict NotRun.
func (s *Session) Send(ctx context.Context, body vwmessage.Body) error {
	return s.send(ctx, body, 0, false)
}

func (s *Session) send(ctx context.Context, body vwmessage.Body, call uint64, reply bool) error {
	envelope, err := vwmessage.Seal(body, call, reply)
	if err != nil {
		return vwverdict.Wrap(vwverdict.NotRun, err)
	}
	s.sent.Store(int64(time.Since(s.opened)))
	return vwverdict.Wrap(vwverdict.NotRun, s.conn.Send(ctx, envelope))
}

// Close ends the session.
func (s *Session) Close() error {
	s.end(ErrClosed)
	return nil
}

func (s *Session) end(cause error) {
	s.mu.Lock()
	if s.closed != nil {
		s.mu.Unlock()
		return
	}
	if cause == nil {
		cause = ErrClosed
	}
	s.closed = cause
	waiters := s.pending
	s.pending = map[uint64]chan callResult{}
	s.mu.Unlock()
	_ = s.conn.Close()
	close(s.done)
	for _, waiter := range waiters {
		waiter <- callResult{err: vwverdict.Wrap(vwverdict.MayHaveRun, cause)}
	}
}

func (s *Session) open() (uint64, chan callResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed != nil {
		return 0, nil, vwverdict.Wrap(vwverdict.NotRun, s.closed)
	}
	call := s.lastCall.Add(1)
	waiter := make(chan callResult, 1)
	s.pending[call] = waiter
	return call, waiter, nil
}

func (s *Session) abandon(call uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, call)
}

// Call sends a request and waits for its reply of type R. The error's verdict tells whether the peer
// may have acted on the request.
func Call[R vwmessage.Body](ctx context.Context, s *Session, request vwmessage.Body) (R, error) {
	var none R
	call, waiter, err := s.open()
	if err != nil {
		return none, err
	}
	if err := s.send(ctx, request, call, false); err != nil {
		s.abandon(call)
		return none, err
	}
	select {
	case <-ctx.Done():
		s.abandon(call)
		return none, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	case result := <-waiter:
		if result.err != nil {
			return none, result.err
		}
		body, ok := result.body.(R)
		if !ok {
			return none, vwverdict.Wrap(vwverdict.MayHaveRun, trace.BadParameter("reply has message kind %d", result.body.MessageKind()))
		}
		return body, nil
	}
}
