package vwhistory_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// controlProcess is one member of the replicated control with its disk. Member is nil while it is dead.
type controlProcess struct {
	address string
	disk    *vwstoretest.Disk

	mu     sync.Mutex
	member *vwcontrol.Member
	group  *vwgroup.Group
}

func (p *controlProcess) take() (*vwcontrol.Member, *vwgroup.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	member := p.member
	p.member = nil
	return member, p.group
}

// replicatedControl is a control group of three members that entries reach over links.
type replicatedControl struct {
	cluster   *cluster
	addresses []string
	members   []*controlProcess
}

func startReplicatedControl(c *cluster) *replicatedControl {
	r := &replicatedControl{cluster: c}
	for i := range 3 {
		disk := vwstoretest.Make()
		disk.SetSyncDelay(3 * time.Millisecond)
		p := &controlProcess{address: fmt.Sprintf("control-%d", i), disk: disk}
		r.members, r.addresses = append(r.members, p), append(r.addresses, p.address)
	}
	for _, p := range r.members {
		r.start(p)
	}
	return r
}

func (r *replicatedControl) start(p *controlProcess) {
	hello := vwmessage.Hello{Cluster: "test", Process: vwid.Process(p.address), Incarnation: vwid.MakeIncarnation(), Role: "Control"}
	endpoint := r.cluster.network.MakeEndpoint(p.address, hello)
	group := vwgroup.Make(context.Background())
	server := vwcontrol.MakeLinkServer()
	pool := vwlink.MakePool(group.Context(), endpoint, server)
	transport := vwcontrol.MakeLinkTransport(group.Context(), pool)
	server.SetTransport(transport)
	settings := vwcontrol.DefaultSettings(p.address, r.addresses)
	settings.Logger = r.cluster.log
	member, err := vwcontrol.Start(context.Background(), settings, p.disk, transport)
	if err != nil {
		panic(err)
	}
	if err := server.Attach(group, member); err != nil {
		panic(err)
	}
	group.Run(func(ctx context.Context) {
		_ = vwlink.Serve(ctx, endpoint, server)
		_ = transport.Close()
		_ = pool.Close()
	})
	p.mu.Lock()
	p.member, p.group = member, group
	p.mu.Unlock()
}

// kill ends a member; its disk loses a random part of what was not synced.
func (r *replicatedControl) kill(p *controlProcess, random *rand.Rand) {
	member, group := p.take()
	if member == nil {
		return
	}
	r.cluster.network.Kill(p.address)
	_ = member.Kill()
	_ = group.Stop()
	p.disk.Crash(random)
}

func (r *replicatedControl) stop() {
	for _, p := range r.members {
		r.kill(p, rand.New(rand.NewPCG(0, 0)))
	}
}

// client returns a way to control that dials from endpoint and lasts as long as group.
func (r *replicatedControl) client(group *vwgroup.Group, endpoint vwlink.Dialer, announce func(vwid.ConfigVersion)) vwentry.Control {
	pool := vwlink.MakePool(group.Context(), endpoint, vwlink.HandlerFunc(
		func(_ *vwlink.Session, body vwmessage.Body, _ vwlink.Reply) {
			if message, ok := body.(*vwmessage.ConfigAnnounce); ok {
				announce(message.Version)
			}
		}))
	group.Run(func(ctx context.Context) {
		<-ctx.Done()
		_ = pool.Close()
	})
	return vwcontrol.MakeClient(vwcontrol.Retry(vwcontrol.MakeLinkCaller(pool, r.addresses)))
}

// fault takes one member away, by a crash or by a silent network, and brings it back later. Another one may
// be away at the same time, so that for a while there is no majority.
func (r *replicatedControl) fault(h *history, duration time.Duration) {
	p := r.members[h.random.IntN(len(r.members))]
	if h.random.IntN(2) == 0 {
		h.cluster.network.Isolate(p.address, true)
		h.later(duration, func() { h.cluster.network.Isolate(p.address, false) })
		return
	}
	r.kill(p, rand.New(rand.NewPCG(h.random.Uint64(), 0)))
	h.later(duration, func() {
		p.mu.Lock()
		dead := p.member == nil
		p.mu.Unlock()
		if dead {
			r.start(p)
		}
	})
}
