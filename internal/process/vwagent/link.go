package vwagent

import (
	"context"
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
	// renewInterval leaves three more tries within a lease of 2 s.
	renewInterval = 500 * time.Millisecond
	// callTimeout bounds one renewal. A later reply would carry little remaining time.
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
	// offered and wake ask the registering and the renewing goroutine to act at once.
	offered chan struct{}
	wake    chan struct{}

	// The control goroutine owns the rest.
	retired bool
	// silent tells that the link ended because the entry was not heard of.
	silent bool
	// draining is set once the address is no longer chosen. The link ends when its tasks have.
	draining bool
	credits  int
	// renewNow asks for a renewal over this link, because its entry knows of a newer configuration.
	renewNow bool
	// offer is what this link is to register next; nil when nothing changed.
	offer      *vwmessage.Register
	registered bool
	// entries is the list that the lease replies of this link named last.
	entries vwmessage.EntryList
}

// serve runs a link until it ends.
func (r *registration) serve(ctx context.Context, t *target, conn vwlink.Conn) error {
	l := &link{registration: r, target: t, entry: conn.Peer().Incarnation, offered: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	l.session = vwlink.MakeSession(conn, l)
	attached := false
	if !r.agent.do(func(time.Time) { attached = r.attach(l) }) || !attached {
		return trace.Wrap(l.session.Close())
	}
	group := vwgroup.Make(ctx)
	group.Go(l.session.Run)
	group.Go(func(ctx context.Context) error { return l.repeat(ctx, l.offered, l.registerOffer) })
	group.Go(func(ctx context.Context) error { return l.repeat(ctx, l.wake, l.renewLease) })
	err := group.Wait()
	r.agent.do(func(time.Time) {
		l.silent = vwlink.IsSilent(err)
		r.retire(l)
	})
	return err
}

// send sends a one-way message. A failure means that the link ends, after which a fence settles
// what was under way.
func (l *link) send(body vwmessage.Body) bool {
	err := l.session.Send(context.Background(), body)
	if err != nil && !vwlink.IsClosed(err) {
		l.registration.agent.logger.Warn("sending failed", "Entry", string(l.entry), "Error", err.Error())
		_ = l.session.Close()
	}
	return err == nil
}

// setOffer prepares the registration of the announced backend server.
func (l *link) setOffer() {
	a := l.registration.agent
	if a.backend.service == "" {
		return
	}
	l.offer = &vwmessage.Register{
		Process:     a.settings.Process,
		Incarnation: l.registration.incarnation,
		DataCentre:  a.settings.DataCentre,
		Rack:        a.settings.Rack,
		Service:     a.backend.service,
		Slots:       l.registration.slots(),
	}
	signal(l.offered)
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// repeat calls act every renewInterval, and at once after a signal on wake, until the link ends. The
// registration and the lease are repeated apart, so that a slow registration does not let the lease run out.
func (l *link) repeat(ctx context.Context, wake <-chan struct{}, act func(ctx context.Context) bool) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
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
		case <-ticker.C:
		}
	}
}

// registerOffer registers a new offer. It reports false when the agent has stopped.
func (l *link) registerOffer(ctx context.Context) bool {
	var offer *vwmessage.Register
	if !l.registration.agent.do(func(time.Time) { offer, l.offer = l.offer, nil }) {
		return false
	}
	if offer == nil {
		return true
	}
	done := l.register(ctx, offer)
	return l.registration.agent.do(func(time.Time) { l.afterRegister(offer, done) })
}

// afterRegister opens a registered link. An offer that was not registered is kept for the next try,
// unless a newer one exists.
func (l *link) afterRegister(offer *vwmessage.Register, done bool) {
	if done {
		l.registered = true
		signal(l.wake)
		l.registration.open(l)
	} else if l.offer == nil {
		l.offer = offer
	}
}

// register sends the offer and reports whether it is in the control log.
func (l *link) register(ctx context.Context, offer *vwmessage.Register) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	reply, err := vwlink.Call[*vwmessage.Outcome](ctx, l.session, offer)
	if err != nil {
		l.registration.agent.logger.Debug("registering failed", "Entry", string(l.entry), "Error", err.Error())
		return false
	}
	var outcome vwstate.Outcome
	if _, err := outcome.UnmarshalMsg(reply.Outcome); err != nil {
		l.registration.agent.logger.Warn("the outcome of registering is malformed", "Entry", string(l.entry), "Error", err.Error())
		return false
	}
	if outcome.Refusal == vwstate.RefusalNotRegistered {
		l.registration.agent.do(func(now time.Time) { l.registration.end(now) })
	}
	return outcome.Refusal == vwstate.RefusalNone
}

// renewLease asks for one renewal once the agent is registered over this link: before that, control would
// report the agent as expired. The lease counts from before the request was sent. It reports false when
// the agent has stopped.
func (l *link) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := l.registration
	registered := false
	request := &vwmessage.LeaseRequest{Incarnation: r.incarnation}
	if !r.agent.do(func(now time.Time) {
		request.Held, request.EntriesDigest, registered = r.lease.Held(), l.entries.Digest, l.registered
		// An agent without a backend server is not in control's list, so any entry may renew its lease.
		registered = registered || r.agent.runner != nil && r.agent.backend.service == "" && r.renewsOver(now, l)
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
	return r.agent.do(func(now time.Time) { r.takeLease(now, sent, l, reply) })
}

// renewsOver reports whether an agent that any entry may renew asks over this link. It asks over one while the
// lease is long enough, and over all when that one fails to renew it.
func (r *registration) renewsOver(now time.Time, l *link) bool {
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
	l.registration.agent.post(&received{link: l, body: body, reply: reply, after: session.PreviousHeard()})
}

// received is a message from an entry.
type received struct {
	link  *link
	body  vwmessage.Body
	reply vwlink.Reply
	// after is a time after which the message was sent.
	after time.Time
}

// isStale reports whether the entry may have taken the message for lost. That happens to a process that stands
// still between receiving a message and handling it.
func (m *received) isStale(a *Agent, now time.Time) bool {
	return now.Sub(m.after) >= a.timing.Silence
}

func (m *received) apply(a *Agent, now time.Time) {
	r := m.link.registration
	if m.link.retired || r != a.current {
		a.counters.Crossed.Add(1)
		return
	}
	r.dirty = true
	switch body := m.body.(type) {
	case *vwmessage.Start:
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
			signal(m.link.wake)
		}
	case *vwmessage.Run, *vwmessage.StopRuns, *vwmessage.Want:
		m.applyToRunner(a, now)
	default:
		a.counters.Unexpected.Add(1)
		m.reply(nil, vwverdict.Errorf(vwverdict.NotRun, "an agent does not serve message kind %d", body.MessageKind()))
	}
}

func (m *received) applyToRunner(a *Agent, now time.Time) {
	if a.runner == nil {
		a.counters.Unexpected.Add(1)
		a.logger.Warn("message for a worker that grants leases, but there is none", "Entry", string(m.link.entry))
		return
	}
	switch body := m.body.(type) {
	case *vwmessage.Run:
		if m.isStale(a, now) {
			a.logger.Warn("tasks are not started, because their entry may have sent them elsewhere", "Job", string(body.JobID),
				"Tasks", len(body.Tasks), "Entry", string(m.link.entry), "Milliseconds", now.Sub(m.after).Milliseconds())
			_ = m.link.session.Close()
			return
		}
		a.runner.onRun(now, m.link, body)
	case *vwmessage.StopRuns:
		a.runner.onStopRuns(now, m.link, body)
	case *vwmessage.Want:
		a.runner.onWant(now, m.link, body)
	}
}
