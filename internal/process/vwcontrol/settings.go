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
	// RegistrationPeriod is the default of Settings.Registration.
	RegistrationPeriod = 4 * time.Second
	// MaxMembers is the default of Settings.MaxMembers.
	MaxMembers = 7
	// ReplaceAfter is the default of Settings.ReplaceAfter. It is longer than a restart of a process takes.
	ReplaceAfter = 2500 * time.Millisecond
)

// Settings are the fixed parameters of a Member.
type Settings struct {
	// Address is where the other members reach this one.
	Address string
	// Initial are the addresses of the members that make the log at the first start. Others, and members
	// that the membership has lost, find the cluster through them.
	Initial []string
	// Joins forbids this member to create a log, for a cluster that has started before. Its disk may be
	// empty because it was lost.
	Joins bool
	// ReplacesDamage lets a member whose data directory is damaged set it aside and join as a new one, where no
	// operator is there to do so. It counts as a lost disk.
	ReplacesDamage bool
	// MaxMembers bounds the voters and learners: each one costs the leader messages.
	MaxMembers int
	// ReplaceAfter is how long a voter must be silent before the leader removes it from an even number of
	// voters, which tolerates no more losses than one voter fewer does.
	ReplaceAfter time.Duration
	// Tick is the interval of vwraft's ticks.
	Tick time.Duration
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ReadsByQuorum lets a restarted member vote at once, at the price of a quorum round for each read; see
	// vwraft.Settings.
	ReadsByQuorum bool
	// Election is the longest time for which a member waits for a leader before it stands for election;
	// the shortest is half of it, and must be at least three heartbeats.
	Election time.Duration
	// Lease is how long a configuration lease lasts from the moment at which it was asked for.
	Lease time.Duration
	// Registration is how long a registration is kept after its last renewal. It must exceed Lease, so
	// that a holder has stopped before its registration ends.
	Registration time.Duration
	// ProbeInterval is how often a member with an empty log looks for the others.
	ProbeInterval time.Duration
	// RequestTimeout bounds how long a request waits for a commit or a quorum.
	RequestTimeout time.Duration
	// A snapshot is due after SnapshotEntries entries, or after SnapshotBytes of them: configurations may be large, and
	// all entries since the last snapshot are held in memory and on the disk.
	SnapshotEntries int
	SnapshotBytes   int
	// SegmentBytes is the size of a log segment.
	SegmentBytes int64
	// MaxWaiting bounds the requests that wait for the member.
	MaxWaiting int
	// Suspended returns for how long the machine has been suspended since its start, which the runtime's
	// clock does not count. A leader that was suspended must not trust its lease.
	Suspended func() time.Duration
	// Random draws the election timeouts.
	Random rand.Source
	Logger *slog.Logger
	// Events is the event log; nil is off.
	Events *vwevent.Log
}

// DefaultSettings returns settings with all bounds set, for a member at address.
func DefaultSettings(address string, initial []string) Settings {
	return Settings{
		Address:         address,
		Initial:         initial,
		Tick:            50 * time.Millisecond,
		Heartbeat:       100 * time.Millisecond,
		Election:        time.Second,
		Lease:           LeaseDuration,
		Registration:    RegistrationPeriod,
		MaxMembers:      MaxMembers,
		ReplaceAfter:    ReplaceAfter,
		Suspended:       func() time.Duration { return 0 },
		ProbeInterval:   500 * time.Millisecond,
		RequestTimeout:  5 * time.Second,
		SnapshotEntries: 500,
		SnapshotBytes:   8 << 20,
		SegmentBytes:    vwstore.DefaultSegmentBytes,
		MaxWaiting:      4096,
		Random:          rand.NewPCG(rand.Uint64(), rand.Uint64()),
		Logger:          slog.Default(),
	}
}

func (s Settings) check() error {
	switch {
	case s.Address == "" || len(s.Initial) == 0:
		return trace.BadParameter("the address of the member and the initial addresses must be set")
	case len(s.Initial) > s.MaxMembers:
		return trace.BadParameter("%d initial members exceed the limit of %d", len(s.Initial), s.MaxMembers)
	case len(slices.Compact(slices.Sorted(slices.Values(s.Initial)))) != len(s.Initial):
		return trace.BadParameter("an initial address is named twice")
	case s.Tick <= 0 || s.ProbeInterval <= 0 || s.RequestTimeout <= 0:
		return trace.BadParameter("intervals and timeouts must be positive")
	case s.Heartbeat < s.Tick || s.shortestElection() < 3*s.Heartbeat:
		return trace.BadParameter("the heartbeat (%v) must be at least a tick (%v) and at most a sixth of the election timeout (%v)", s.Heartbeat, s.Tick, s.Election)
	case s.Lease <= 0 || s.Registration <= s.Lease:
		return trace.BadParameter("the registration (%v) must be longer than the lease (%v)", s.Registration, s.Lease)
	case s.SnapshotEntries < 1 || s.SnapshotBytes < 1 || s.SegmentBytes < 1 || s.MaxWaiting < 1:
		return trace.BadParameter("sizes and bounds must be positive")
	case s.ReplaceAfter <= s.Election:
		return trace.BadParameter("ReplaceAfter (%v) must be longer than the election timeout (%v)", s.ReplaceAfter, s.Election)
	case s.Random == nil || s.Logger == nil || s.Suspended == nil:
		return trace.BadParameter("Random, Logger and Suspended must be set")
	}
	return nil
}

func (s Settings) raft(self vwid.Member) vwraft.Settings {
	settings := vwraft.DefaultSettings(self, s.Random)
	settings.HeartbeatTicks = int(s.Heartbeat / s.Tick)
	settings.ReadsByQuorum = s.ReadsByQuorum
	settings.ElectionTicks = int(s.shortestElection() / s.Tick)
	return settings
}

// shortestElection is half of the longest election timeout: the width of the range keeps two members
// from starting elections at the same time.
func (s Settings) shortestElection() time.Duration {
	return s.Election / 2
}
