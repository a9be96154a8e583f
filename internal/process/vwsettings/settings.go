// Package vwsettings reads the settings of one process from a TOML file. They are read and checked once,
// when the process starts.
package vwsettings

import (
	"time"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Settings are the settings of one process. The tag roles lists the roles that have a key, and the tag
// required the roles that must set it. Keys with the tag fixed have one value in this version, which is
// listed so that operators see it.
type Settings struct {
	Role       vwstate.Role    `roles:"Entry Agent Control" required:"Entry Agent Control"`
	Cluster    vwid.Cluster    `roles:"Entry Agent Control" required:"Entry Agent Control"`
	Process    vwid.Process    `roles:"Entry Agent Control" required:"Entry Agent Control"`
	DataCentre vwid.DataCentre `roles:"Entry Agent Control" required:"Entry Agent Control"`
	Rack       vwid.Rack       `roles:"Entry Agent Control" required:"Entry Agent Control"`
	// DataDirectory makes an entry a control member as well.
	DataDirectory string `roles:"Entry Control" required:"Control"`
	// EntryAddresses are link addresses of entries. An agent learns of further entries from these.
	EntryAddresses []string `roles:"Agent" required:"Agent"`
	// ControlMembers are the link addresses of all control members, this process included if it is one.
	ControlMembers []string `roles:"Entry Control" required:"Entry Control"`
	Addresses      Addresses
	Keys           Keys
	Limits         Limits
	Timeouts       Timeouts
	Log            Log
}

// Addresses are where the process listens, as host:port.
type Addresses struct {
	// Callers serves the callers' HTTP interface.
	Callers string `roles:"Entry" required:"Entry"`
	// Operators serves the operators' HTTP interface, metrics and health.
	Operators string `roles:"Entry Agent Control" required:"Entry Agent Control"`
	// Link accepts links from other processes. They are told this address, so its host must be reachable.
	Link string `roles:"Entry Control" required:"Entry Control"`
	// Announce serves the backend server beside an agent.
	Announce string `roles:"Agent" required:"Agent"`
}

// Keys name the files for mutual TLS, in PEM.
type Keys struct {
	Certificate string `roles:"Entry Agent Control" required:"Entry Agent Control"`
	Key         string `roles:"Entry Agent Control" required:"Entry Agent Control"`
	Authority   string `roles:"Entry Agent Control" required:"Entry Agent Control"`
}

// Limits bound what the process takes on at one time.
type Limits struct {
	// TasksPerJob and JobBytes bound one submission.
	TasksPerJob int          `roles:"Entry"`
	JobBytes    vwunit.Bytes `roles:"Entry"`
	// QueueLength and QueueBytes bound the waiting tasks of all teams together.
	QueueLength int          `roles:"Entry"`
	QueueBytes  vwunit.Bytes `roles:"Entry"`
	// CallerConnections bounds the open HTTP connections of callers.
	CallerConnections int `roles:"Entry"`
	// IntakeBytes bounds the bodies of requests that arrive, together.
	IntakeBytes vwunit.Bytes `roles:"Entry"`
	// Slots bounds the tasks that run at the same time, whatever the backend server announces.
	Slots int `roles:"Agent"`
	// BackendConnections bounds the connections to the backend server.
	BackendConnections int `roles:"Agent" fixed:"true"`
	// EntryLinks bounds the entries that an agent keeps links with.
	EntryLinks int `roles:"Agent"`
	// ResultBytes bounds the results that an agent keeps until they are acknowledged. A fence may ask for
	// all of them, so they must fit into what a link queues.
	ResultBytes vwunit.Bytes `roles:"Agent"`
}

// Timeouts are the durations that the process works with. Lease, Registration and Idle must be the same
// in the whole cluster.
type Timeouts struct {
	// Lease is how long a configuration lease lasts, and Renewal how often it is renewed.
	Lease   vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	Renewal vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	// Registration is how long a process stays registered without a renewal.
	Registration vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	// Idle closes a link without messages, and Ping is how often a quiet link is used.
	Idle vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	Ping vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	// Dial bounds the making of a link or connection.
	Dial vwunit.Duration `roles:"Entry Agent Control" fixed:"true"`
	// Announcement is how long a backend server counts as present after its last announcement.
	Announcement vwunit.Duration `roles:"Agent" fixed:"true"`
	// Heartbeat and Election are of the control log: a member that hears no leader for Election votes.
	Heartbeat vwunit.Duration `roles:"Entry Control"`
	Election  vwunit.Duration `roles:"Entry Control"`
	// Stop bounds a planned stop. An entry answers what runs longer shortly before the bound; other work that runs longer is
	// interrupted.
	Stop vwunit.Duration `roles:"Entry Agent Control"`
}

// Log says what the process writes about itself.
type Log struct {
	// Level is Debug, Info, Warn or Error.
	Level string `roles:"Entry Agent Control"`
	// EventFile receives the event log. Empty means that none is written.
	EventFile string `roles:"Entry Agent Control"`
}

// Defaults returns the settings that apply to a role where the file sets nothing. Keys that the role does
// not have are zero.
func Defaults(role vwstate.Role) Settings {
	s := Settings{
		Role:      role,
		Addresses: Addresses{Callers: "0.0.0.0:7300", Operators: "127.0.0.1:7301", Announce: "127.0.0.1:7303"},
		Limits:    defaultLimits(),
		Timeouts:  defaultTimeouts(),
		Log:       Log{Level: "Info"},
	}
	for _, k := range keysOf(&s) {
		if !k.has(role) {
			k.value.SetZero()
		}
	}
	return s
}

// defaultLimits returns limits for the target size. A job has at most 900 tasks there, and a worker 8
// slots and 64 connections. JobBytes is half of what a message can carry.
func defaultLimits() Limits {
	return Limits{
		TasksPerJob:        1000,
		JobBytes:           8 * vwunit.MiB,
		QueueLength:        2_000_000,
		QueueBytes:         vwunit.GiB,
		CallerConnections:  10_000,
		IntakeBytes:        512 * vwunit.MiB,
		Slots:              8,
		BackendConnections: 64,
		EntryLinks:         8,
		ResultBytes:        32 * vwunit.MiB,
	}
}

// defaultTimeouts returns the durations of the design. A lease of 2 s with four renewals leaves a second
// of the bound of 3 s on starts after a data centre was taken out.
func defaultTimeouts() Timeouts {
	return Timeouts{
		Lease:        vwunit.Duration(2 * time.Second),
		Renewal:      vwunit.Duration(500 * time.Millisecond),
		Registration: vwunit.Duration(4 * time.Second),
		Idle:         vwunit.Duration(2 * time.Second),
		Ping:         vwunit.Duration(500 * time.Millisecond),
		Dial:         vwunit.Duration(time.Second),
		Announcement: vwunit.Duration(3 * time.Second),
		Heartbeat:    vwunit.Duration(100 * time.Millisecond),
		Election:     vwunit.Duration(time.Second),
		Stop:         vwunit.Duration(30 * time.Second),
	}
}

// IsControlMember reports whether the process holds a replica of the control log.
func (s *Settings) IsControlMember() bool {
	return s.DataDirectory != ""
}
