package vwcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// attemptTimeout bounds dialling, and the whole attempt of a request that may be repeated at another member, so that a
// renewal succeeds within its lease although one member does not respond. It does not bound a read whose reply may take longer
// to cross a slow link.
const attemptTimeout = 250 * time.Millisecond

// LinkCaller sends requests to control members over links. It prefers the leader named by the last ErrNotLeader.
type LinkCaller struct {
	pool *vwlink.Pool

	mu        sync.Mutex
	addresses []string
}

// MakeLinkCaller returns a Caller for the members at addresses. MakeClient(Retry(caller)) makes it a Client.
func MakeLinkCaller(pool *vwlink.Pool, addresses []string) *LinkCaller {
	return &LinkCaller{pool: pool, addresses: slices.Clone(addresses)}
}

// SetAddresses replaces the addresses and keeps the order of those that were known before, so that the preferred one
// stays first if it is among them. It ignores an empty list.
func (c *LinkCaller) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := slices.DeleteFunc(slices.Clone(c.addresses), func(known string) bool { return !slices.Contains(addresses, known) })
	for _, address := range addresses {
		if !slices.Contains(ordered, address) {
			ordered = append(ordered, address)
		}
	}
	c.addresses = ordered
}

// Call implements Caller with one attempt at the preferred member. After a failure of the link, or an ErrNotLeader, it
// prefers another member.
func (c *LinkCaller) Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error) {
	address := c.preferred()
	reply, err := c.attempt(ctx, address, request)
	if err == nil {
		return reply, nil
	}
	var remote *vwlink.ErrRemote
	switch {
	case !errors.As(err, &remote):
		c.demote(address, "")
	case remote.Code == vwlink.CodeNotLeader:
		c.demote(address, remote.Leader)
		err = errorOf(&vwmessage.Failure{Verdict: vwverdict.Of(err), Code: remote.Code, Leader: remote.Leader})
	}
	return nil, err
}

func (c *LinkCaller) attempt(ctx context.Context, address string, request vwmessage.Body) (vwmessage.Body, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	session, err := c.pool.Get(attemptCtx, address)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	if _, proposes := request.(*vwmessage.Propose); proposes {
		return vwlink.Call[vwmessage.Body](ctx, session, request)
	}
	if hasLongReply(request) {
		attemptCtx = ctx
	}
	reply, err := vwlink.Call[vwmessage.Body](attemptCtx, session, request)
	if err != nil && ctx.Err() == nil {
		// Renewals and reads are idempotent, so they may be repeated whether or not they were handled.
		err = vwverdict.Wrap(vwverdict.NotRun, err)
	}
	return reply, err
}

// hasLongReply reports whether a request reads the whole text of the rules. While it waits, the link ends if the member is
// silent.
func hasLongReply(request vwmessage.Body) bool {
	read, ok := request.(*vwmessage.Read)
	if !ok {
		return false
	}
	var query vwstate.Query
	_, err := query.UnmarshalMsg(read.Query)
	return err == nil && query.Config
}

func (c *LinkCaller) preferred() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[0]
}

// demote moves an address to the end, and the leader's, if it is known, to the front.
func (c *LinkCaller) demote(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.addresses, address); at >= 0 {
		c.addresses = append(slices.Delete(c.addresses, at, at+1), address)
	}
	if leader == "" || leader == address {
		return
	}
	if at := slices.Index(c.addresses, leader); at >= 0 {
		c.addresses = slices.Delete(c.addresses, at, at+1)
	}
	c.addresses = slices.Insert(c.addresses, 0, leader)
}
