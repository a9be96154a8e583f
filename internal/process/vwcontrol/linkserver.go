package vwcontrol

import (
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// LinkServer passes requests and raft packets that arrive over links to a member. It is the handler of both the
// accepted and the dialled sessions of its process.
type LinkServer struct {
	transport *LinkTransport

	mu      sync.Mutex
	member  *Member
	holders map[*vwlink.Session]bool
}

// MakeLinkServer returns a server that rejects requests until Attach is called.
func MakeLinkServer() *LinkServer {
	return &LinkServer{holders: map[*vwlink.Session]bool{}}
}

// SetTransport sets the transport that receives replication messages. It must be called before the first session.
func (s *LinkServer) SetTransport(transport *LinkTransport) {
	s.transport = transport
}

// Attach sets the member that answers requests, and announces its new configuration versions to the lease holders that
// are connected to this process.
func (s *LinkServer) Attach(group *vwgroup.Group, member *Member) error {
	s.mu.Lock()
	s.member = member
	s.mu.Unlock()
	return trace.Wrap(member.Watch(func(version vwid.ConfigVersion) { s.announce(group, version) }))
}

func (s *LinkServer) announce(group *vwgroup.Group, version vwid.ConfigVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.holders {
		// A holder that misses the announcement receives the version with its next renewal.
		_ = session.Send(group.Context(), &vwmessage.ConfigAnnounce{Version: version})
	}
}

// Serves reports whether a message is for control, in a process whose link address serves an entry too. Lease requests
// of agents are for the entry, which answers from its own lease.
func (*LinkServer) Serves(peer vwlink.Peer, body vwmessage.Body) bool {
	switch body.(type) {
	case *vwmessage.Replication, *vwmessage.Propose, *vwmessage.Read:
		return true
	case *vwmessage.LeaseRequest:
		return peer.Role != string(vwstate.RoleAgent)
	}
	return false
}

// HandleMessage implements vwlink.Handler.
func (s *LinkServer) HandleMessage(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	if message, ok := body.(*vwmessage.Replication); ok {
		s.transport.HandleReplication(message)
		reply(nil, nil)
		return
	}
	member := s.memberFor(session, body)
	if member == nil {
		reply(nil, vwverdict.Wrap(vwverdict.NotRun, ErrStopped))
		return
	}
	member.Serve(body, func(answer vwmessage.Body, err error) { reply(answer, remoteError(err)) })
}

// memberFor returns the attached member, or nil, and records the session of a lease request as that of a holder.
func (s *LinkServer) memberFor(session *vwlink.Session, body vwmessage.Body) *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, holds := body.(*vwmessage.LeaseRequest); holds && session != nil && !session.Ended() {
		s.holders[session] = true
	}
	return s.member
}

// HandleEnd implements vwlink.EndHandler.
func (s *LinkServer) HandleEnd(session *vwlink.Session, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, session)
}

// remoteError returns the error that vwlink sends as a Failure with the same verdict, code and leader.
func remoteError(err error) error {
	if err == nil {
		return nil
	}
	failure := failureOf(err)
	return vwverdict.Wrap(failure.Verdict, &vwlink.ErrRemote{Code: failure.Code, Message: failure.Message, Leader: failure.Leader})
}
