// Package vwcontroltest is a control of one member without a log, for tests of entries and agents. It
// keeps leases and expires registrations as a leader does, and can be cut off or made slow.
package vwcontroltest

import (
	"context"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwpart"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	lease = 2 * time.Second
	// kept is how long a registration lasts without renewal.
	kept = 4 * time.Second
)

// Control is the state with its leases.
type Control struct {
	mu      sync.Mutex
	state   *vwstate.State
	renewed map[vwid.Incarnation]time.Time
	delay   time.Duration
	planted Fault
	// rulesParts has the parts of the current rules once an entry has renewed its lease.
	rulesParts vwpart.Library
}

// Fault is a wrong behaviour that a test plants to show that its checks find it.
type Fault struct {
	// TwoOwners accepts a submission that has an owner.
	TwoOwners bool
	// StaleLease goes on granting leases on the version that was current when the fault was planted.
	StaleLease bool
}

// Plant makes the control behave wrongly from now on.
func (c *Control) Plant(fault Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planted = fault
}

// Make returns an empty control that takes delay for each command.
func Make(delay time.Duration) *Control {
	return &Control{state: vwstate.Make(), renewed: map[vwid.Incarnation]time.Time{}, delay: delay}
}

// Client is one process's way to the control.
type Client struct {
	control *Control
	mu      sync.Mutex
	cut     bool
	lose    bool
}

// Client returns a new client.
func (c *Control) Client() *Client {
	return &Client{control: c}
}

// Cut makes the client's calls fail, or work again.
func (c *Client) Cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// LoseAnswers makes proposals take effect while their answers are lost.
func (c *Client) LoseAnswers(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

func (c *Client) fault() (cut, lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut, c.lose
}

func (c *Client) wait(ctx context.Context) error {
	if cut, _ := c.fault(); cut {
		<-ctx.Done()
		return vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	}
	timer := time.NewTimer(c.control.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return vwverdict.Wrap(vwverdict.NotRun, ctx.Err())
	case <-timer.C:
		return nil
	}
}

// Propose applies a command.
func (c *Client) Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error) {
	if err := c.wait(ctx); err != nil {
		return vwstate.Outcome{}, err
	}
	outcome := c.control.apply(command)
	if _, lose := c.fault(); lose {
		<-ctx.Done()
		return vwstate.Outcome{}, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	}
	return outcome, nil
}

func (c *Control) apply(command vwstate.Command) vwstate.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	command.At = time.Now().UnixMilli()
	if command.Register != nil {
		c.renewed[command.Register.Registration.Incarnation] = time.Now()
	}
	outcome := c.state.Apply(command)
	if c.planted.TwoOwners && command.Accept != nil && outcome.Refusal == vwstate.RefusalExists {
		outcome.Refusal = vwstate.RefusalNone
		outcome.Submission.Owner = command.Accept.Owner
	}
	return outcome
}

// expire ends the registrations that were not renewed.
func (c *Control) expire() {
	for incarnation, at := range c.renewed {
		if time.Since(at) < kept {
			continue
		}
		delete(c.renewed, incarnation)
		c.state.Apply(vwstate.Command{At: time.Now().UnixMilli(), Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{incarnation}}})
	}
}

// Renew renews registrations and grants a lease.
func (c *Client) Renew(ctx context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error) {
	if err := c.wait(ctx); err != nil {
		return nil, err
	}
	return c.control.renew(request), nil
}

func (c *Control) renew(request *vwmessage.LeaseRequest) *vwmessage.LeaseReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	reply := &vwmessage.LeaseReply{Version: c.state.Version(), RemainingMilliseconds: lease.Milliseconds()}
	for _, incarnation := range append([]vwid.Incarnation{request.Incarnation}, request.Relayed...) {
		if !c.state.IsLive(incarnation) {
			reply.Expired = append(reply.Expired, incarnation)
			continue
		}
		c.renewed[incarnation] = time.Now()
	}
	if c.planted.StaleLease && request.Held > 0 {
		reply.Version = request.Held
	}
	switch {
	case request.Held >= reply.Version:
	case request.FetchesRules:
		reply.RulesParts = c.rulesParts.Update(c.state.Config())
	default:
		reply.Rules = c.state.Config().Text
	}
	var entries []vwmessage.EntryAddress
	for _, registration := range c.state.Registrations() {
		if registration.Role == vwstate.RoleEntry && !registration.Ended() {
			entries = append(entries, vwmessage.EntryAddress{
				Incarnation: registration.Incarnation, Process: registration.Process,
				DataCentre: registration.DataCentre, Address: registration.Address,
			})
		}
	}
	vwmessage.MakeEntryList(entries, nil).Write(request, reply)
	return reply
}

// Read answers a query.
func (c *Client) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	if err := c.wait(ctx); err != nil {
		return vwstate.View{}, err
	}
	c.control.mu.Lock()
	defer c.control.mu.Unlock()
	c.control.expire()
	view := c.control.state.Read(query)
	if len(query.Parts) > 0 {
		view.Parts = c.control.rulesParts.Read(query.Parts, query.PartBytes)
	}
	return view, nil
}
