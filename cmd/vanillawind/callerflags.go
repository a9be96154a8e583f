package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwclient"
)

const (
	defaultCallers   = "http://127.0.0.1:7300"
	defaultOperators = "http://127.0.0.1:7301"
	// defaultPatience is how long control recognises a submission id.
	defaultPatience = 5 * time.Minute
)

// addCallerFlags adds the flags of a command that calls entries as a caller.
func addCallerFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringSlice("entry", []string{defaultCallers}, "callers' address of an entry; repeat it to name several")
	cmd.Flags().Duration("timeout", defaultPatience, "give up after this time, all attempts included")
	return cmd
}

// withCaller runs a command as the caller that the flags describe, within the timeout.
func withCaller(cmd *cobra.Command, run func(context.Context, vwcommand.Caller) error) error {
	entries, _ := cmd.Flags().GetStringSlice("entry")
	client, err := vwclient.Make(vwclient.Settings{Entries: entries})
	if err != nil {
		return vwcommand.ErrUsage{Err: err}
	}
	ctx, cancel := limit(cmd)
	defer cancel()
	return run(ctx, vwcommand.Caller{Client: client, Output: outputOf(cmd), Progress: cmd.ErrOrStderr()})
}

func limit(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	timeout, _ := cmd.Flags().GetDuration("timeout")
	return context.WithTimeout(cmd.Context(), timeout)
}
