package vwcontrol

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// LeaseDuration is the default of Settings.Lease.
	LeaseDuration = 2 * time.Second
	// RegistrationPeriod is the default of Settings.RegistrationPeriod.
	RegistrationPeriod = 4 * time.Second
	// MaxMembers is the default of Settings.MaxMembers.
	MaxMembers = 7
	// ReplaceAfter is the default of Settings.ReplaceAfter. It exceeds the time of a process restart.
	ReplaceAfter = 2500 * time.Millisecond
)

// Settings are the fixed parameters of a Member.
type Settings struct {
	// Address is the address at which the other members reach this one.
	Address string
	// Initial holds the addresses of the members that create the log at the first start. Other members, and those
	// that were removed from the membership, probe them to join.
	Initial []string
	// JoinOnly prevents this member from creating a log, for a cluster that has started before: its disk may be empty
	// because it was lost.
	JoinOnly bool
	// RejoinOnCorruption makes a member with a corrupt data directory move it aside and join under a new id, for
	// deployments without an operator. The others treat it as a lost disk.
	RejoinOnCorruption bool
	// MaxMembers bounds the voters and learners, because the leader sends messages to each of them.
	MaxMembers int
	// ReplaceAfter is how long a voter must have sent nothing before the leader removes it. The leader does so only while
	// there are more voters than Tolerance needs.
	ReplaceAfter time.Duration
	// Tolerance is how many members may lose their disks at once. 2*Tolerance+1 voters are needed for that, and the leader
	// removes no voter if fewer would be left. Zero means fewer than half of the initial members at the start.
	Tolerance int
	// Tick is the interval between the ticks of vwraft.
	Tick time.Duration
	// HeartbeatInterval is the interval of the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ReadsByQuorum lets a restarted member vote at once; each read then needs a quorum round. See vwraft.Settings.
	ReadsByQuorum bool
	// ElectionTimeout is the longest election timeout. The shortest is half of it, and must be at least three heartbeats.
	ElectionTimeout time.Duration
	// Lease is the duration of a configuration lease, counted from the time of the request.
	Lease time.Duration
	// RegistrationPeriod is how long a registration is kept after its last renewal. It must exceed Lease, so that a holder
	// has stopped before its registration expires.
	RegistrationPeriod time.Duration
	// ProbeInterval is the interval between the probes of a member that has an empty log or knows no leader.
	ProbeInterval time.Duration
	// RequestTimeout bounds how long a request waits for a commit or a quorum.
	RequestTimeout time.Duration
	// A snapshot is due after SnapshotEntries entries or SnapshotBytes bytes of entries. Configurations may be large,
	// and all entries since the last snapshot are kept in memory and on disk.
	SnapshotEntries int
	SnapshotBytes   int
	// SegmentBytes is the size of a log segment.
	SegmentBytes int64
	// MaxWaiting bounds the queued packets, the queued requests, the waiting proposals and the forwarded requests, each.
	MaxWaiting int
	// SuspendedTime returns how long the machine has been suspended since its start. The runtime's clock does not count
	// this time, and a leader that was suspended must not rely on its lease.
	SuspendedTime func() time.Duration
	// Random is the source of the election timeouts.
	Random rand.Source
	Logger *slog.Logger
	// Events is the event log. Nil disables it.
	Events *vwevent.Log
}

// DefaultSettings returns settings with all bounds set, for a member at address.
func DefaultSettings(address string, initial []string) Settings {
	return Settings{
		Address:            address,
		Initial:            initial,
		Tick:               50 * time.Millisecond,
		HeartbeatInterval:  100 * time.Millisecond,
		ElectionTimeout:    time.Second,
		Lease:              LeaseDuration,
		RegistrationPeriod: RegistrationPeriod,
		MaxMembers:         MaxMembers,
		ReplaceAfter:       ReplaceAfter,
		SuspendedTime:      func() time.Duration { return 0 },
		ProbeInterval:      500 * time.Millisecond,
		RequestTimeout:     5 * time.Second,
		SnapshotEntries:    500,
		SnapshotBytes:      8 << 20,
		SegmentBytes:       vwstore.DefaultSegmentBytes,
		MaxWaiting:         4096,
		Random:             rand.NewPCG(rand.Uint64(), rand.Uint64()),
		Logger:             slog.Default(),
	}
}

func (s Settings) validate() error {
	switch {
	case s.Address == "" || len(s.Initial) == 0:
		return trace.BadParameter("the address of the member and the initial addresses must be set")
	case len(s.Initial) > s.MaxMembers:
		return trace.BadParameter("%d initial members exceed the limit of %d", len(s.Initial), s.MaxMembers)
	case len(slices.Compact(slices.Sorted(slices.Values(s.Initial)))) != len(s.Initial):
		return trace.BadParameter("an initial address is named twice")
	case s.Tick <= 0 || s.ProbeInterval <= 0 || s.RequestTimeout <= 0:
		return trace.BadParameter("intervals and timeouts must be positive")
	case s.HeartbeatInterval < s.Tick || s.minElectionTimeout() < 3*s.HeartbeatInterval:
		return trace.BadParameter("the heartbeat (%v) must be at least a tick (%v) and at most a sixth of the election timeout (%v)", s.HeartbeatInterval, s.Tick, s.ElectionTimeout)
	case s.Lease <= 0 || s.RegistrationPeriod <= s.Lease:
		return trace.BadParameter("the registration (%v) must be longer than the lease (%v)", s.RegistrationPeriod, s.Lease)
	case s.SnapshotEntries < 1 || s.SnapshotBytes < 1 || s.SegmentBytes < 1 || s.MaxWaiting < 1:
		return trace.BadParameter("sizes and bounds must be positive")
	case s.Tolerance < 0 || s.neededVoters() > s.MaxMembers:
		return trace.BadParameter("the loss of %d members needs %d voters; the limit is %d", s.Tolerance, s.neededVoters(), s.MaxMembers)
	case s.ReplaceAfter <= s.ElectionTimeout:
		return trace.BadParameter("ReplaceAfter (%v) must be longer than the election timeout (%v)", s.ReplaceAfter, s.ElectionTimeout)
	case s.Random == nil || s.Logger == nil || s.SuspendedTime == nil:
		return trace.BadParameter("Random, Logger and SuspendedTime must be set")
	}
	return nil
}

// neededVoters returns the lowest number of voters of which a majority is left after the tolerated losses.
func (s Settings) neededVoters() int {
	return 2*s.Tolerance + 1
}

func (s Settings) raftSettings(self vwid.Member) vwraft.Settings {
	settings := vwraft.DefaultSettings(self, s.Random)
	settings.HeartbeatTicks = int(s.HeartbeatInterval / s.Tick)
	settings.ReadsByQuorum = s.ReadsByQuorum
	settings.ElectionTicks = int(s.minElectionTimeout() / s.Tick)
	return settings
}

// minElectionTimeout returns half of the longest election timeout. The width of the range keeps two members from
// starting elections at the same time.
func (s Settings) minElectionTimeout() time.Duration {
	return s.ElectionTimeout / 2
}
