package vwprocess

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwlog"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/process/vwsignal"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// StartTimeout is the time after which a start, which opens files and binds addresses, has failed.
const StartTimeout = 30 * time.Second

// Command runs a process of one role from a settings file.
type Command struct {
	Role vwstate.Role
	// SettingsFile is the path of the settings file.
	SettingsFile string
	// Log receives the log, one JSON object a line.
	Log io.Writer
	// Signals are the signals of the process. Nil means none.
	Signals *vwsignal.Signals
}

// Process is a running process of any role.
type Process interface {
	// Stop shuts the process down gracefully.
	Stop(ctx context.Context) error
	// Kill ends at once whatever still runs.
	Kill()
	// Failure receives the error that ended the work of the process, if any.
	Failure() <-chan error
}

// Run runs the process until ctx ends or the process fails, and then shuts it down gracefully within Timeouts.Stop.
func (c Command) Run(ctx context.Context) error {
	// Without the settings there is no log yet, but a hangup must not end the process.
	c.Signals.Handle(func(os.Signal) {})
	settings, err := vwsettings.Load(c.SettingsFile)
	if err != nil {
		return trace.Wrap(err)
	}
	if settings.Role != c.Role {
		return trace.Wrap(makeRoleError(c, settings.Role))
	}
	vwlog.OutliveReader()
	out := vwlog.MakeWriter(c.Log)
	log := makeLogger(out, settings)
	c.Signals.Handle(func(received os.Signal) {
		log.Info("signal received", "signal", received.String(), "stopping", ctx.Err() != nil)
	})
	events, err := openEventFile(settings)
	if err != nil {
		return trace.NewAggregate(err, out.Close())
	}
	err = trace.NewAggregate(run(ctx, settings, log, events.Log), events.close())
	// A reader that does not take the last lines is no failure of the process, and there is nowhere else to log it.
	_ = out.Close()
	return err
}

func run(ctx context.Context, settings vwsettings.Settings, log *slog.Logger, events *vwevent.Log) error {
	startCtx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	process, err := startProcess(startCtx, settings, log, events)
	if IsStopDuringStart(ctx, err) {
		log.Info("process stopped during its start")
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	err = WaitForEnd(ctx, process, log)
	events.Record(vwevent.Event{Kind: vwevent.ProcessStopping})
	return trace.NewAggregate(err, ShutDown(ctx, process, time.Duration(settings.Timeouts.Stop), log))
}

// startApp starts the components of a process. The start hooks run to their end even if ctx ends meanwhile, so that the
// caller can kill what they have started.
func startApp(ctx context.Context, app *fx.App) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := app.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	return ctx.Err()
}

// IsStopDuringStart reports whether a start has failed with err because ctx, which ends when the process has to stop,
// has ended.
func IsStopDuringStart(ctx context.Context, err error) bool {
	return ctx.Err() != nil && errors.Is(err, ctx.Err())
}

// WaitForEnd waits until ctx ends or the process fails, and returns the error of the process.
func WaitForEnd(ctx context.Context, process Process, log *slog.Logger) error {
	log.Info("process started")
	select {
	case <-ctx.Done():
		return nil
	case err := <-process.Failure():
		log.Error("process failed", "error", err)
		return err
	}
}

func makeRoleError(c Command, role vwstate.Role) error {
	return vwsettings.ErrSettings{Faults: []vwsettings.Fault{{
		File: c.SettingsFile, Line: 1, Key: "Role",
		Message:    "the settings are of the role " + string(role) + ", not " + string(c.Role),
		Suggestion: "use the command " + strings.ToLower(string(role)),
	}}}
}

// ShutDown stops the process gracefully and kills whatever still runs after the timeout. The end of ctx doesn't
// shorten the timeout.
func ShutDown(ctx context.Context, process Process, timeout time.Duration, log *slog.Logger) error {
	log.Info("process stops", "bound", timeout.String())
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	err := process.Stop(stopCtx)
	process.Kill()
	if err != nil {
		return trace.Wrap(err, "the process did not stop gracefully")
	}
	log.Info("process stopped")
	return nil
}

func startProcess(ctx context.Context, settings vwsettings.Settings, log *slog.Logger, events *vwevent.Log) (Process, error) {
	keys, err := vwkeys.OpenSeparate(settings.Keys.Certificate, settings.Keys.Key, settings.Keys.Authority, log)
	if err != nil {
		return nil, trace.Wrap(err, "Keys")
	}
	switch settings.Role {
	case vwstate.RoleEntry:
		return startEntryFromSettings(ctx, settings, keys, log, events)
	case vwstate.RoleAgent:
		return StartAgent(ctx, agentConfig(settings, keys, log, events))
	default:
		return startControlFromSettings(ctx, settings, keys, log, events)
	}
}

func makeLogger(out io.Writer, settings vwsettings.Settings) *slog.Logger {
	var level slog.Level
	// vwsettings.Load has validated the level, and slog parses every level that it accepts.
	_ = level.UnmarshalText([]byte(settings.Log.Level))
	return vwlog.MakeLogger(out, level).With("role", string(settings.Role), "process", string(settings.Process))
}
