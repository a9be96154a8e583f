package vwprocess

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwlog"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// StartTimeout bounds the opening of files and addresses at the start.
const StartTimeout = 30 * time.Second

// Command is the command of one role. It runs a process by its settings file.
type Command struct {
	Role vwstate.Role
	// Settings is the path of the settings file.
	Settings string
	// Log receives the log as lines of JSON.
	Log io.Writer
}

// Process is a running process of any role.
type Process interface {
	// Stop is the graceful shutdown, and Kill ends at once what is left.
	Stop(ctx context.Context) error
	Kill()
	// Failed yields the failure that has ended the process's work, if one does.
	Failed() <-chan error
}

// Run runs the process until ctx ends, and then shuts it down gracefully within Timeouts.Stop.
func (c Command) Run(ctx context.Context) error {
	settings, err := vwsettings.Load(c.Settings)
	if err != nil {
		return trace.Wrap(err)
	}
	if settings.Role != c.Role {
		return trace.Wrap(roleFault(c, settings.Role))
	}
	vwlog.OutliveReader()
	out := vwlog.MakeWriter(c.Log)
	log := makeLogger(out, settings)
	events, err := openEvents(settings)
	if err != nil {
		return trace.NewAggregate(err, out.Close())
	}
	return trace.NewAggregate(run(ctx, settings, log, events.Log), events.close(), out.Close())
}

func run(ctx context.Context, settings vwsettings.Settings, log *slog.Logger, events *vwevent.Log) error {
	starting, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	running, err := start(starting, settings, log, events)
	if err != nil {
		return trace.Wrap(err)
	}
	err = Await(ctx, running, log)
	events.Record(vwevent.Event{Kind: vwevent.ProcessStopping})
	return trace.NewAggregate(err, ShutDown(ctx, running, time.Duration(settings.Timeouts.Stop), log))
}

// Await waits until ctx ends or the process fails, and returns its failure.
func Await(ctx context.Context, running Process, log *slog.Logger) error {
	log.Info("process started")
	select {
	case <-ctx.Done():
		return nil
	case err := <-running.Failed():
		log.Error("process failed", "error", err)
		return err
	}
}

func roleFault(c Command, role vwstate.Role) error {
	return vwsettings.ErrSettings{Faults: []vwsettings.Fault{{
		File: c.Settings, Line: 1, Key: "Role",
		Message:    "the settings are of the role " + string(role) + ", not " + string(c.Role),
		Suggestion: "use the command " + strings.ToLower(string(role)),
	}}}
}

// ShutDown stops the process and cuts what still runs after the bound.
func ShutDown(ctx context.Context, running Process, bound time.Duration, log *slog.Logger) error {
	log.Info("process stops", "bound", bound.String())
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	err := running.Stop(stopping)
	running.Kill()
	if err != nil {
		return trace.Wrap(err, "the process did not stop gracefully")
	}
	log.Info("process stopped")
	return nil
}

func start(ctx context.Context, settings vwsettings.Settings, log *slog.Logger, events *vwevent.Log) (Process, error) {
	keys, err := vwkeys.OpenSeparate(settings.Keys.Certificate, settings.Keys.Key, settings.Keys.Authority, log)
	if err != nil {
		return nil, trace.Wrap(err, "Keys")
	}
	switch settings.Role {
	case vwstate.RoleEntry:
		return startEntryBySettings(ctx, settings, keys, log, events)
	case vwstate.RoleAgent:
		return StartAgent(ctx, agentConfig(settings, keys, log, events))
	default:
		return startControlBySettings(ctx, settings, keys, log, events)
	}
}

func makeLogger(out io.Writer, settings vwsettings.Settings) *slog.Logger {
	var level slog.Level
	// Check has accepted the level, and slog knows all that it accepts.
	_ = level.UnmarshalText([]byte(settings.Log.Level))
	return vwlog.MakeLogger(out, level).With("role", string(settings.Role), "process", string(settings.Process))
}
