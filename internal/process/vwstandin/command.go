package vwstandin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/gravitational/trace"
)

// stopTimeout bounds how long a stop waits for running tasks.
const stopTimeout = 30 * time.Second

// Command is the command standin.
type Command struct {
	Config Config
	Out    io.Writer
	// Log receives warnings as lines of JSON.
	Log io.Writer
}

// Run serves until ctx ends, and then leaves and waits for the running tasks.
func (c Command) Run(ctx context.Context) error {
	if c.Config.Slots < 1 {
		return trace.BadParameter("slots must be at least 1, not %d", c.Config.Slots)
	}
	c.Config.Log = slog.New(slog.NewJSONHandler(c.Log, nil))
	server, err := Serve(context.WithoutCancel(ctx), c.Config)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(c.Out, "serving %s with %d slots on %s; its record is at %s/Starts\n", c.Config.Service, c.Config.Slots, server.Address(), server.Address())
	if err == nil {
		<-ctx.Done()
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return trace.NewAggregate(err, server.Stop(stopping))
}
