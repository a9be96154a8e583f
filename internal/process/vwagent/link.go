package vwagent

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// renewInterval allows three more tries within a lease of 2 s.
	renewInterval = 500 * time.Millisecond
	// callTimeout bounds one renewal. A later reply would leave little of the lease.
	callTimeout = time.Second
	// registerTimeout covers the election of a control leader and a synced write.
	registerTimeout = 4 * time.Second
)

// link is one link to an entry.
type link struct {
	registration *registration
	target       *target
	session      *vwlink.Session
	entry        vwid.Incarnation
	// registerSignal and renewSignal wake the goroutines that register and renew.
	registerSignal chan struct{}
	renewSignal    chan struct{}

	// The control goroutine owns the fields below.
	retired bool
	// timedOut is set if the link ended because nothing was received from the entry.
	timedOut bool
	// draining is set once the address is no longer chosen. The link closes after its last running task, once drained is
	// set: the entry has confirmed that it has handled all results. confirming is set while it is asked.
	draining, confirming, drained bool
	// handledWork counts the messages with tasks that were received and the results that were sent.
	handledWork uint64
	credits     int
	// renewNow requests a renewal over this link, because its entry has announced a newer configuration.
	renewNow bool
	// pendingRegister is the next registration to send over this link; nil if nothing changed.
	pendingRegister *vwmessage.Register
	registered      bool
	// entries is the latest entry list from the lease replies of this link.
	entries vwmessage.EntryList
}

// serve runs a link until it ends.
func (r *registration) serve(ctx context.Context, t *target, conn vwlink.Conn) error {
	l := &link{registration: r, target: t, entry: conn.Peer().Incarnation, registerSignal: make(chan struct{}, 1), renewSignal: make(chan struct{}, 1)}
	l.session = vwlink.MakeSession(conn, l)
	attached := false
	if !r.agent.do(func(time.Time) { attached = r.attach(l) }) || !attached {
		return trace.Wrap(l.session.Close())
	}
	group := vwgroup.Make(ctx)
	group.Go(l.session.Run)
	group.Go(func(ctx context.Context) error { return l.repeat(ctx, l.registerSignal, l.registerPending) })
	group.Go(func(ctx context.Context) error { return l.repeat(ctx, l.renewSignal, l.renewLease) })
	err := group.Wait()
	r.agent.do(func(time.Time) {
		l.timedOut = vwlink.IsSilent(err)
		r.retire(l)
	})
	return err
}

// send sends a one-way message. A failure ends the link; the fence on the next one then resolves what was in
// flight.
func (l *link) send(body vwmessage.Body) bool {
	err := l.session.Send(context.Background(), body)
	if err != nil && !vwlink.IsClosed(err) {
		l.registration.agent.logger.Warn("sending failed", "Entry", string(l.entry), "Error", err.Error())
		_ = l.session.Close()
	}
	return err == nil
}

// queueRegister queues the registration of the announced backend server.
func (l *link) queueRegister() {
	a := l.registration.agent
	if a.backend.service == "" {
		return
	}
	l.pendingRegister = &vwmessage.Register{
		Process:     a.settings.Process,
		Incarnation: l.registration.incarnation,
		DataCentre:  a.settings.DataCentre,
		Rack:        a.settings.Rack,
		Service:     a.backend.service,
		Slots:       l.registration.slots(),
	}
	signal(l.registerSignal)
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// repeat calls act every renewInterval, and at once after a signal on wake, until the link ends. Registration
// and renewal each have a goroutine, so that a slow registration does not let the lease expire.
func (l *link) repeat(ctx context.Context, wake <-chan struct{}, act func(ctx context.Context) bool) error {
	timing := l.registration.agent.timing
	timer := time.NewTimer(timing.UntilNext(time.Now(), renewInterval))
	defer timer.Stop()
	for {
		if !act(ctx) {
			return vwlink.ErrClosed
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.session.Done():
			return vwlink.ErrClosed
		case <-wake:
		case <-timer.C:
			timer.Reset(timing.UntilNext(time.Now(), renewInterval))
		}
	}
}

// registerPending sends a pending registration. It reports false if the agent has stopped.
func (l *link) registerPending(ctx context.Context) bool {
	var pendingRegister *vwmessage.Register
	if !l.registration.agent.do(func(time.Time) { pendingRegister, l.pendingRegister = l.pendingRegister, nil }) {
		return false
	}
	if pendingRegister == nil {
		return true
	}
	done := l.register(ctx, pendingRegister)
	return l.registration.agent.do(func(time.Time) { l.afterRegister(pendingRegister, done) })
}

// afterRegister handles the end of a registration attempt. A failed registration stays pending, unless a newer
// one exists.
func (l *link) afterRegister(pendingRegister *vwmessage.Register, done bool) {
	if done {
		l.registered = true
		signal(l.renewSignal)
		l.registration.onRegistered(l)
	} else if l.pendingRegister == nil {
		l.pendingRegister = pendingRegister
	}
}

// register sends a registration and reports whether it is in the control log.
func (l *link) register(ctx context.Context, offer *vwmessage.Register) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	reply, err := vwlink.Call[*vwmessage.Outcome](ctx, l.session, offer)
	if err != nil {
		l.registration.agent.logger.Debug("registration failed", "Entry", string(l.entry), "Error", err.Error())
		return false
	}
	var outcome vwstate.Outcome
	if _, err := outcome.UnmarshalMsg(reply.Outcome); err != nil {
		l.registration.agent.logger.Warn("registration outcome is malformed", "Entry", string(l.entry), "Error", err.Error())
		return false
	}
	if outcome.Refusal == vwstate.RefusalNotRegistered {
		l.registration.agent.do(func(now time.Time) { l.registration.onExpired(now) })
	}
	return outcome.Refusal == vwstate.RefusalNone
}

// renewLease renews the lease once if the agent is registered over this link: before that, control would report
// the agent as expired. The lease counts from before the request was sent. renewLease reports false if the
// agent has stopped.
func (l *link) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := l.registration
	registered := false
	request := &vwmessage.LeaseRequest{Incarnation: r.incarnation}
	if !r.agent.do(func(now time.Time) {
		request.Held, request.EntriesDigest, registered = r.lease.Held(), l.entries.Digest, l.registered
		// Control does not list an agent without a backend server, so any entry may renew its lease.
		registered = registered || r.agent.runner != nil && r.agent.backend.service == "" && r.takeRenewal(now, l)
	}) {
		return false
	}
	if !registered {
		return true
	}
	sent := time.Now()
	reply, err := vwlink.Call[*vwmessage.LeaseReply](ctx, l.session, request)
	if err != nil {
		return true
	}
	return r.agent.do(func(now time.Time) { r.onLeaseReply(now, sent, l, reply) })
}

// takeRenewal reports whether an agent without a backend server renews over this link now, and clears renewNow. If
// renewNow is set it renews at once; otherwise over a single link while at least half of maxLease is left, and over all
// links when that one fails to renew in time.
func (r *registration) takeRenewal(now time.Time, l *link) bool {
	if l.renewNow {
		l.renewNow = false
		return true
	}
	if _, recent := r.lease.Rules(now.Add(maxLease / 2)); !recent {
		return true
	}
	for _, other := range r.links {
		if other.target.address < l.target.address {
			return false
		}
	}
	return true
}

// HandleMessage implements vwlink.Handler.
func (l *link) HandleMessage(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	l.registration.agent.post(&receivedMessage{link: l, body: body, reply: reply, sentAfter: session.PreviousHeard(), suspended: l.registration.agent.machineClock.Suspended(time.Now())})
}

// receivedMessage is a message from an entry.
type receivedMessage struct {
	link  *link
	body  vwmessage.Body
	reply vwlink.Reply
	// sentAfter is a lower bound of the time at which the message was sent, and suspended is for how long the machine had
	// been suspended when it came.
	sentAfter time.Time
	suspended time.Duration
}

// isStale reports whether the entry may already treat the message as lost. This happens if the agent stalls
// between receiving a message and handling it.
func (m *receivedMessage) isStale(a *Agent, now time.Time) bool {
	return now.Sub(m.sentAfter)+a.machineClock.Suspended(now)-m.suspended >= a.timing.Silence
}

func (m *receivedMessage) apply(a *Agent, now time.Time) {
	r := m.link.registration
	if m.link.retired || r != a.current {
		a.counters.Crossed.Add(1)
		return
	}
	r.dirty = true
	switch body := m.body.(type) {
	case *vwmessage.Start:
		m.link.handledWork++
		r.onStart(now, m.link, body)
	case *vwmessage.Demand:
		r.granter.SetDemand(m.link.entry, *body)
	case *vwmessage.CreditReturn:
		r.onCreditReturn(m.link, body.Count)
	case *vwmessage.Fence:
		r.onFence(now, m.link, body, m.reply)
	case *vwmessage.Acknowledge:
		r.onAcknowledge(now, body)
	case *vwmessage.Cancel:
		r.onCancel(now, body)
	case *vwmessage.ConfigAnnounce:
		if body.Version > r.lease.Held() {
			m.link.renewNow = true
			signal(m.link.renewSignal)
		}
	case *vwmessage.Run, *vwmessage.PackedRun, *vwmessage.StopRuns, *vwmessage.Want, *vwmessage.RankedWant:
		m.applyToRunner(a, now)
	default:
		a.counters.Unexpected.Add(1)
		m.reply(nil, vwverdict.Errorf(vwverdict.NotRun, "an agent does not serve message kind %d", body.MessageKind()))
	}
}

func (m *receivedMessage) applyToRunner(a *Agent, now time.Time) {
	if a.runner == nil {
		a.counters.Unexpected.Add(1)
		a.logger.Warn("ignored message: the agent has no worker that grants leases", "Entry", string(m.link.entry))
		return
	}
	a.runner.confirmOpened(m.link)
	switch body := m.body.(type) {
	case *vwmessage.Run:
		m.applyRun(a, now, body)
	case *vwmessage.PackedRun:
		payload, err := vwmessage.UnpackPayload(body.Run.Payload)
		if err != nil {
			m.closeLink(a, "a payload cannot be unpacked", "Job", string(body.Run.JobID), "Error", err.Error())
			return
		}
		body.Run.Payload = payload
		m.applyRun(a, now, &body.Run)
	case *vwmessage.StopRuns:
		a.runner.onStopRuns(now, m.link, body)
	case *vwmessage.Want:
		m.applyWant(a, now, body, 0)
	case *vwmessage.RankedWant:
		m.applyWant(a, now, &body.Want, body.Level)
	}
}

// applyWant records the demand of a message.
func (m *receivedMessage) applyWant(a *Agent, now time.Time, want *vwmessage.Want, level int) {
	if want.Tasks < 0 || !want.Needs.Valid() {
		m.closeLink(a, "a demand is malformed", "Needs", want.Needs.String(), "Tasks", want.Tasks)
		return
	}
	a.runner.onWant(now, m.link, want, level)
}

// closeLink ends the link over which a malformed message has come. The entry settles what it has sent over it.
func (m *receivedMessage) closeLink(a *Agent, cause string, fields ...any) {
	a.logger.Warn("closing the link: "+cause, append(fields, "Entry", string(m.link.entry))...)
	_ = m.link.session.Close()
}

// applyRun starts the tasks of a message unless it is stale.
func (m *receivedMessage) applyRun(a *Agent, now time.Time, run *vwmessage.Run) {
	if m.isStale(a, now) {
		a.logger.Warn("stale tasks are not started, because their entry may have sent them elsewhere; closing the link", "Job", string(run.JobID),
			"Tasks", len(run.Tasks), "Entry", string(m.link.entry), "Milliseconds", now.Sub(m.sentAfter).Milliseconds())
		_ = m.link.session.Close()
		return
	}
	if !isWellFormed(run) {
		m.closeLink(a, "a message with tasks is malformed", "Job", string(run.JobID), "Needs", run.Needs.String(), "Tasks", len(run.Tasks))
		return
	}
	a.runner.onRun(now, m.link, run)
}

// isWellFormed reports whether the tasks of a message can be started. Negative needs would add to the capacity of the worker.
func isWellFormed(run *vwmessage.Run) bool {
	return run.Needs.Valid() && !slices.ContainsFunc(run.Tasks, func(t vwmessage.RunTask) bool { return t.Index < 0 || t.Attempt < 1 })
}
