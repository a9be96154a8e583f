package vwcontrol

import (
	"context"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Client gives other modules access to the replicated control state.
type Client interface {
	// Propose returns the outcome of a command once it is committed. The verdict of an error is NotRun only if the
	// command is not in the log and never will be.
	Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error)
	// Renew renews registrations and grants a configuration lease.
	Renew(ctx context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error)
	// Read returns a linearizable view, or the member's applied state for a local query. An error has the verdict
	// NotRun, since a read changes nothing.
	Read(ctx context.Context, query vwstate.Query) (vwstate.View, error)
}

// Caller sends a request to control and waits for the reply.
type Caller interface {
	Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error)
}

// MakeClient returns a Client that encodes its requests for caller.
func MakeClient(caller Caller) Client {
	return &callerClient{caller: caller}
}

type callerClient struct{ caller Caller }

// Propose implements Client.
func (c *callerClient) Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error) {
	var outcome vwstate.Outcome
	data, err := vwstate.Encode(command)
	if err != nil {
		return outcome, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	reply, err := call[*vwmessage.Outcome](ctx, c.caller, &vwmessage.Propose{Command: data})
	if err != nil {
		return outcome, err
	}
	_, err = outcome.UnmarshalMsg(reply.Outcome)
	return outcome, vwverdict.Wrap(vwverdict.MayHaveRun, err)
}

// Renew implements Client.
func (c *callerClient) Renew(ctx context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error) {
	return call[*vwmessage.LeaseReply](ctx, c.caller, request)
}

// Read implements Client.
func (c *callerClient) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	var view vwstate.View
	data, err := query.MarshalMsg(nil)
	if err != nil {
		return view, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	reply, err := call[*vwmessage.View](ctx, c.caller, &vwmessage.Read{Query: data})
	if err != nil {
		return view, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	_, err = view.UnmarshalMsg(reply.View)
	return view, vwverdict.Wrap(vwverdict.NotRun, err)
}

func call[R vwmessage.Body](ctx context.Context, caller Caller, request vwmessage.Body) (R, error) {
	var zero R
	reply, err := caller.Call(ctx, request)
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(R)
	if !ok {
		return zero, vwverdict.Errorf(vwverdict.MayHaveRun, "control answered with message kind %d", reply.MessageKind())
	}
	return typed, nil
}
