package vwprocess

import (
	"sync/atomic"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// router dispatches messages from the links of a process to its entry or its control member. Either may be absent.
type router struct {
	entry   atomic.Pointer[vwentry.Entry]
	control atomic.Pointer[vwcontrol.LinkServer]
}

// HandleMessage implements vwlink.Handler.
func (r *router) HandleMessage(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	switch message := body.(type) {
	case *vwmessage.ConfigAnnounce:
		if entry := r.entry.Load(); entry != nil {
			entry.Announce(message.Version)
		}
		reply(nil, nil)
	case *vwmessage.Propose, *vwmessage.Read, *vwmessage.Replication:
		r.handleByControl(session, body, reply)
	case *vwmessage.LeaseRequest:
		if session.Peer().Role == string(vwstate.RoleAgent) {
			r.handleByEntry(session, body, reply)
			return
		}
		r.handleByControl(session, body, reply)
	default:
		r.handleByEntry(session, body, reply)
	}
}

func (r *router) handleByControl(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	if control := r.control.Load(); control != nil {
		control.HandleMessage(session, body, reply)
		return
	}
	reply(nil, vwverdict.Errorf(vwverdict.NotRun, "the process is not a control member"))
}

func (r *router) handleByEntry(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	if entry := r.entry.Load(); entry != nil {
		entry.HandleMessage(session, body, reply)
		return
	}
	reply(nil, vwverdict.Errorf(vwverdict.NotRun, "the process is not an entry"))
}

// HandleEnd implements vwlink.EndHandler.
func (r *router) HandleEnd(session *vwlink.Session, cause error) {
	if control := r.control.Load(); control != nil {
		control.HandleEnd(session, cause)
	}
	if entry := r.entry.Load(); entry != nil {
		entry.HandleEnd(session, cause)
	}
}
