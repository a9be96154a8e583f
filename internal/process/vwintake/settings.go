// Package vwintake bounds the memory that a process spends on what others send it. Bytes are taken from one budget of the process
// before they are read and given back when they are no longer held.
package vwintake

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Settings divide the budget of a process.
type Settings struct {
	// Total is the number of bytes that the process holds at most.
	Total vwunit.Bytes
	// Reserve is the part of Total that only small holdings use.
	Reserve vwunit.Bytes
	// Small is the size of the largest small holding.
	Small vwunit.Bytes
	// PerAddress is what the holdings of one client address that are not small may take.
	PerAddress vwunit.Bytes
	// PerKind is what the holdings of one kind may take.
	PerKind vwunit.Bytes
	// Sockets is the memory that the open connections to one port may take.
	Sockets vwunit.Bytes
	// StallTime is how long a body or a connection without a request may make no progress while others lack room.
	StallTime time.Duration
	// ProgressTime is how long a body may make no progress while there is room.
	ProgressTime time.Duration
	// ProgressBytes is what a body has to bring within these times, unless it ends.
	ProgressBytes vwunit.Bytes
}

const (
	// memoryShare is the part of the memory of a process that the budget takes. Decoded bodies and garbage take several times that.
	memoryShare = 1.0 / 8
	// defaultMemory is the memory of a process whose settings name none.
	defaultMemory = 4 * vwunit.GiB
	// minTotal lets a process with little memory hold a few bodies of usual limits.
	minTotal = 8 * vwunit.MiB
	// maxConnections bounds the connections to one port if no limit of the memory is known.
	maxConnections = 1 << 16
	// minConnections lets a process with little memory serve its callers.
	minConnections = 64
	// small exceeds the body of an ordinary job, which has up to 5 KB.
	small = 8 * vwunit.KiB
)

// SettingsFor returns the settings of a process that may use so much memory; zero means that the limit is not known.
func SettingsFor(memory vwunit.Bytes) Settings {
	if memory <= 0 {
		memory = defaultMemory
	}
	settings := SettingsOf(max(vwunit.Bytes(float64(memory)*memoryShare), minTotal))
	settings.Sockets = vwunit.Bytes(float64(memory) * connectionShare)
	return settings
}

// SettingsOf returns the settings of a budget of so many bytes.
func SettingsOf(total vwunit.Bytes) Settings {
	return Settings{
		Total: total, Reserve: total / 4, Small: small, PerAddress: total / 2, PerKind: total * 3 / 4,
		Sockets:   maxConnections * (connectionBytes + answerBytes),
		StallTime: time.Second, ProgressTime: 5 * time.Second, ProgressBytes: 256,
	}
}
