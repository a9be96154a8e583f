package vwagent

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// AnnouncementTimeout is how long a backend server counts as present after an announcement. It
// announces itself every second, so two lost announcements are tolerated.
const AnnouncementTimeout = 3 * time.Second

// leaveGrace is how long announcements after a Leave are ignored. One that was under way when the
// backend server left must not bring it back; a server that returns is taken at its next one.
const leaveGrace = 500 * time.Millisecond

// Announcement is what a backend server tells the agent beside it.
type Announcement struct {
	Service vwid.Service
	Address string
	Slots   int
}

// announced is the last announcement.
type announced struct {
	service vwid.Service
	address vwbackend.Address
	slots   int
	at      time.Time
	// present is false before the first announcement, after its timeout, after Leave and after a refused dial.
	present bool
	leaving bool
	leftAt  time.Time
}

// check returns the parsed announcement.
func (a Announcement) check(now time.Time) (announced, error) {
	if a.Service == "" {
		return announced{}, trace.BadParameter("Service is empty")
	}
	if a.Slots < 1 || a.Slots > vwbackend.MaxConnections {
		return announced{}, trace.BadParameter("Slots must be from 1 to %d, not %d", vwbackend.MaxConnections, a.Slots)
	}
	address, err := vwbackend.ParseAddress(a.Address)
	if err != nil {
		return announced{}, err
	}
	return announced{service: a.Service, address: address, slots: a.Slots, at: now, present: true}, nil
}

// sameOffer reports whether two announcements register alike.
func (b *announced) sameOffer(other *announced) bool {
	return b.service == other.service && b.slots == other.slots
}
