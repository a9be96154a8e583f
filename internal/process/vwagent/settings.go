package vwagent

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Defaults of Settings.
const (
	DefaultMaxEntries = 8
	DefaultOverCommit = 1
	DefaultMaxRun     = 2 * time.Minute
	DefaultAckTimeout = 5 * time.Second
	DefaultMaxRecords = 1 << 16
	// DefaultTombstones covers 1,500 submissions a second for vwstart.Lifetime in about 40 MB; an agent
	// at the target rate of 26 starts a second needs under 1 MB.
	DefaultTombstones = 1 << 19
	// DefaultResultBytes is below what a link queues for one peer, because a fence may ask for all results.
	DefaultResultBytes = 32 << 20
)

// Settings configure an agent. Check fills in the defaults of zero values.
type Settings struct {
	Cluster    vwid.Cluster
	Process    vwid.Process
	DataCentre vwid.DataCentre
	Rack       vwid.Rack
	// Entries are the link addresses of initial entries. Lease replies list the others.
	Entries []string
	// FindsEntries is set if Options.FindEntries finds entries; Entries may then be empty.
	FindsEntries bool
	// MaxEntries bounds the number of links.
	MaxEntries int
	// Position is the number of the agent among those of its data centre, which may be counted from anywhere and have gaps;
	// zero if there is none. Agents with neighbouring numbers spread their links evenly over the entries.
	Position uint64
	// MaxRuns bounds the runs of a worker that grants leases, whatever room it has for tasks that need little or nothing. Zero
	// means that only its room counts.
	MaxRuns int
	// Slots bounds the tasks that run at a time, whatever the backend server announces.
	Slots int
	// OverCommit is the number of credits beyond the slots. A negative value means none.
	OverCommit int
	// Standing is how many credits an entry without waiting tasks holds. Zero means the default of the granting
	// policy.
	Standing int
	// MaxRun bounds the run time of a task whose Start names no timeout. It detects a backend server that holds
	// a connection open and never answers.
	MaxRun time.Duration
	// AckTimeout bounds how long a stop waits for the acknowledgement of results.
	AckTimeout time.Duration
	// MaxRecords, Tombstones and ResultBytes bound the start records.
	MaxRecords  int
	Tombstones  int
	ResultBytes int
}

// Check returns the settings with defaults, or an error that names the wrong setting.
func (s Settings) Check() (Settings, error) {
	s = s.withDefaults()
	switch {
	case s.Cluster == "" || s.Process == "" || s.DataCentre == "":
		return s, trace.BadParameter("Cluster, Process and DataCentre must be set")
	case len(s.Entries) == 0 && !s.FindsEntries:
		return s, trace.BadParameter("Entries must name an entry unless FindsEntries is set")
	case s.MaxEntries < 1:
		return s, trace.BadParameter("MaxEntries must be at least 1, not %d", s.MaxEntries)
	case s.Slots < 1 || s.Slots > vwbackend.MaxConnections:
		return s, trace.BadParameter("Slots must be from 1 to %d, not %d", vwbackend.MaxConnections, s.Slots)
	case s.OverCommit > s.Slots:
		return s, trace.BadParameter("OverCommit of %d exceeds the %d Slots", s.OverCommit, s.Slots)
	case s.MaxRun < 0 || s.MaxRun >= vwstate.SubmissionRetention:
		return s, trace.BadParameter("MaxRun must be below %s, after which control forgets a submission, not %s", vwstate.SubmissionRetention, s.MaxRun)
	case s.AckTimeout < 0:
		return s, trace.BadParameter("AckTimeout must not be negative, but is %s", s.AckTimeout)
	case s.Tombstones < 0:
		return s, trace.BadParameter("Tombstones must not be negative, but is %d", s.Tombstones)
	case s.MaxRecords < s.Slots || s.ResultBytes < vwbackend.DefaultMaxAnswer:
		return s, trace.BadParameter("MaxRecords must hold %d starts and ResultBytes %d bytes", s.Slots, vwbackend.DefaultMaxAnswer)
	}
	return s, nil
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxEntries, DefaultMaxEntries)
	setDefault(&s.Slots, vwbackend.DefaultSlots)
	setDefault(&s.OverCommit, DefaultOverCommit)
	setDefault(&s.MaxRun, DefaultMaxRun)
	setDefault(&s.AckTimeout, DefaultAckTimeout)
	setDefault(&s.MaxRecords, DefaultMaxRecords)
	setDefault(&s.Tombstones, DefaultTombstones)
	setDefault(&s.ResultBytes, DefaultResultBytes)
	s.OverCommit = max(s.OverCommit, 0)
	return s
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
