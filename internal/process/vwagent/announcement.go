package vwagent

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// AnnouncementTimeout is how long after an announcement a backend server counts as reachable. It announces
// itself every second, so two lost announcements are tolerated.
const AnnouncementTimeout = 3 * time.Second

// leaveGrace is how long announcements after a Leave are ignored, so that one that was in flight does not
// register the backend server again. A server that comes back is accepted at its next announcement.
const leaveGrace = 500 * time.Millisecond

// Announcement is what a backend server sends to its agent every second: the service, the address for tasks and
// the number of slots.
type Announcement struct {
	Service vwid.Service
	Address string
	Slots   int
}

// backendState is the last announcement of the backend server, and whether it is reachable or leaving.
type backendState struct {
	service     vwid.Service
	address     vwbackend.Address
	slots       int
	announcedAt time.Time
	// reachable is false before the first announcement, after AnnouncementTimeout and after a refused dial.
	reachable bool
	leaving   bool
	leftAt    time.Time
}

// check returns the state after a valid announcement.
func (a Announcement) check(now time.Time) (backendState, error) {
	if a.Service == "" {
		return backendState{}, trace.BadParameter("Service is empty")
	}
	if a.Slots < 1 || a.Slots > vwbackend.MaxConnections {
		return backendState{}, trace.BadParameter("Slots must be from 1 to %d, not %d", vwbackend.MaxConnections, a.Slots)
	}
	address, err := vwbackend.ParseAddress(a.Address)
	if err != nil {
		return backendState{}, err
	}
	return backendState{service: a.Service, address: address, slots: a.Slots, announcedAt: now, reachable: true}, nil
}

// registersLike reports whether two announcements lead to the same registration.
func (b *backendState) registersLike(other *backendState) bool {
	return b.service == other.service && b.slots == other.slots
}
