package vwcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// attemptTimeout bounds one attempt of a request that may be repeated at another member, so that a
// renewal survives one silent member.
const attemptTimeout = 250 * time.Millisecond

// LinkCaller sends requests to control members over links. It prefers the leader that it has heard of.
type LinkCaller struct {
	pool *vwlink.Pool

	mu        sync.Mutex
	addresses []string
}

// MakeLinkCaller returns a Caller for the members at addresses. MakeClient(Retry(caller)) makes it a Client.
func MakeLinkCaller(pool *vwlink.Pool, addresses []string) *LinkCaller {
	return &LinkCaller{pool: pool, addresses: slices.Clone(addresses)}
}

// SetAddresses replaces the addresses. The preferred one stays if it is among them.
func (c *LinkCaller) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(c.addresses), func(known string) bool { return !slices.Contains(addresses, known) })
	for _, address := range addresses {
		if !slices.Contains(kept, address) {
			kept = append(kept, address)
		}
	}
	c.addresses = kept
}

// Call implements Caller by one attempt at the preferred member. After a failure another one is preferred.
func (c *LinkCaller) Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error) {
	address := c.preferred()
	reply, err := c.attempt(ctx, address, request)
	if err == nil {
		return reply, nil
	}
	var remote *vwlink.ErrRemote
	switch {
	case !errors.As(err, &remote):
		c.avoid(address, "")
	case remote.Code == vwlink.CodeNotLeader:
		c.avoid(address, remote.Leader)
		err = errorOf(&vwmessage.Failure{Verdict: vwverdict.Of(err), Code: remote.Code, Leader: remote.Leader})
	}
	return nil, err
}

func (c *LinkCaller) attempt(ctx context.Context, address string, request vwmessage.Body) (vwmessage.Body, error) {
	dialling, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	session, err := c.pool.Get(dialling, address)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	if _, proposes := request.(*vwmessage.Propose); proposes {
		return vwlink.Call[vwmessage.Body](ctx, session, request)
	}
	reply, err := vwlink.Call[vwmessage.Body](dialling, session, request)
	if err != nil && ctx.Err() == nil {
		// Renewals and reads may be repeated whatever became of them.
		err = vwverdict.Wrap(vwverdict.NotRun, err)
	}
	return reply, err
}

func (c *LinkCaller) preferred() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[0]
}

// avoid moves an address to the end and the leader, when it is known, to the front.
func (c *LinkCaller) avoid(address, leader string) {
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
