package vwdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

const (
	startTimeout = time.Minute
	stopTimeout  = 30 * time.Second
)

// Command is the command demo.
type Command struct {
	Config Config
	Out    io.Writer
	// Once ends the demo after its first run.
	Once bool
}

// Run starts a cluster, runs the trial, shows how to use the cluster, and serves until ctx ends.
func (c Command) Run(ctx context.Context) error {
	if c.Config.WorkersEach < 1 || c.Config.Slots < 1 {
		return trace.BadParameter("the demo needs at least one worker in each data centre and one slot each")
	}
	c.Config.Progress = func(text string) { c.printf("  %s\n", text) }
	c.printf("starting a cluster on loopback\n")
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begun := time.Now()
	cluster, err := Start(starting, c.Config)
	if err != nil {
		return trace.Wrap(err)
	}
	c.printf("ready after %s\n\n", round(time.Since(begun)))
	err = c.serve(ctx, cluster)
	c.printf("stopping\n")
	stopping, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	return trace.NewAggregate(err, cluster.Stop(stopping))
}

func (c Command) serve(ctx context.Context, cluster *Cluster) error {
	trial, err := cluster.RunTrial(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	c.printf("%s\n", trial)
	c.printAddresses(cluster)
	if c.Once {
		return nil
	}
	c.printf("\nserving; interrupt to stop\n")
	<-ctx.Done()
	return nil
}

func (c Command) printAddresses(cluster *Cluster) {
	for index, entry := range cluster.Entries {
		c.printf("entry-%d  callers http://%s  operators http://%s\n", index+1, entry.CallersAddress(), entry.OperatorsAddress())
	}
	for _, backend := range cluster.Backends {
		c.printf("stand-in of %s  %s/Starts\n", backend.Starts().Worker, backend.Address())
	}
	c.printf("\ntry it:\n  curl -s http://%s/Requests --json '{\"Service\":\"%s\",\"Team\":\"%s\",\"Payload\":{\"RunMillis\":50,\"Echo\":\"hello\"}}'\n",
		cluster.Entries[0].CallersAddress(), Service, Team)
}

// printf writes to Out. The demo goes on when its reader has gone.
func (c Command) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Out, format, args...)
}

func round(duration time.Duration) time.Duration {
	return duration.Round(time.Millisecond)
}
