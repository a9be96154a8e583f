package vwprocess

import (
	"context"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// agentLinkAddress is the local address from which an agent dials. No process dials an agent.
const agentLinkAddress = "0.0.0.0:0"

func startEntryFromSettings(ctx context.Context, s vwsettings.Settings, keys vwkeys.Source, log *slog.Logger, events *vwevent.Log) (Process, error) {
	config := EntryConfig{
		Cluster:           s.Cluster,
		Settings:          entrySettings(s),
		LinkAddress:       s.Addresses.Link,
		CallersAddress:    s.Addresses.Callers,
		OperatorsAddress:  s.Addresses.Operators,
		CallerConnections: s.Limits.CallerConnections,
		Intake:            vwintake.Make(vwintake.SettingsOf(s.Limits.IntakeBytes)),
		Keys:              keys,
		ControlMembers:    s.ControlMembers,
		Log:               log,
		Events:            events,
	}
	if s.IsControlMember() {
		member, err := memberConfig(s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		config.Member = &member
	}
	return StartEntry(ctx, config)
}

func entrySettings(s vwsettings.Settings) vwentry.Settings {
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre, settings.Rack = s.Process, s.DataCentre, s.Rack
	settings.MaxTasks, settings.MaxBody = s.Limits.TasksPerJob, s.Limits.JobBytes
	settings.QueueTasks, settings.QueueBytes = s.Limits.QueueLength, s.Limits.QueueBytes
	return settings
}

func memberConfig(s vwsettings.Settings) (MemberConfig, error) {
	files, err := vwstore.OpenDirectory(s.DataDirectory)
	if err != nil {
		return MemberConfig{}, trace.Wrap(err, "DataDirectory")
	}
	return MemberConfig{Files: files, Heartbeat: time.Duration(s.Timeouts.Heartbeat), Election: time.Duration(s.Timeouts.Election)}, nil
}

func startControlFromSettings(ctx context.Context, s vwsettings.Settings, keys vwkeys.Source, log *slog.Logger, events *vwevent.Log) (Process, error) {
	member, err := memberConfig(s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return StartControl(ctx, ControlConfig{
		Cluster:          s.Cluster,
		Process:          s.Process,
		DataCentre:       s.DataCentre,
		Rack:             s.Rack,
		LinkAddress:      s.Addresses.Link,
		ControlMembers:   s.ControlMembers,
		Member:           member,
		OperatorsAddress: s.Addresses.Operators,
		Keys:             keys,
		Log:              log,
		Events:           events,
	})
}

func agentConfig(s vwsettings.Settings, keys vwkeys.Source, log *slog.Logger, events *vwevent.Log) AgentConfig {
	return AgentConfig{
		Settings: vwagent.Settings{
			Cluster:     s.Cluster,
			Process:     s.Process,
			DataCentre:  s.DataCentre,
			Rack:        s.Rack,
			Entries:     s.EntryAddresses,
			MaxEntries:  s.Limits.EntryLinks,
			Slots:       s.Limits.Slots,
			ResultBytes: int(s.Limits.ResultBytes),
		},
		LinkAddress:      agentLinkAddress,
		BackendAddress:   s.Addresses.Announce,
		OperatorsAddress: s.Addresses.Operators,
		Keys:             keys,
		Log:              log,
		Events:           events,
	}
}
