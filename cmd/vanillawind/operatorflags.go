package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// operatorTimeout is above the time in which control elects a new leader.
const operatorTimeout = 30 * time.Second

// addOperatorFlags adds the flags of a command that calls entries as an operator.
func addOperatorFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringSlice("operators", []string{defaultOperators}, "operators' address of an entry; repeat it to name several")
	cmd.Flags().Duration("timeout", operatorTimeout, "give up after this time, all attempts included")
	return cmd
}

// addChangeFlags adds the flags of a command that changes the rules.
func addChangeFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().String("by", "", "who asked for the change, as the rules shall name them (required)")
	cmd.Flags().String("change-id", "", "id of a change whose outcome was lost, to send it again")
	_ = cmd.MarkFlagRequired("by")
	return addOperatorFlags(cmd)
}

func changeOf(cmd *cobra.Command) vwcommand.Change {
	by, _ := cmd.Flags().GetString("by")
	id, _ := cmd.Flags().GetString("change-id")
	return vwcommand.Change{ID: vwid.ChangeID(id), By: by}
}

func operatorSettings(cmd *cobra.Command) vwclient.Settings {
	addresses, _ := cmd.Flags().GetStringSlice("operators")
	return vwclient.Settings{Entries: addresses}
}

// withOperator runs a command as the operator that the flags describe, within the timeout.
func withOperator(cmd *cobra.Command, run func(context.Context, vwcommand.Operator) error) error {
	client, err := vwclient.MakeOperator(operatorSettings(cmd))
	if err != nil {
		return vwcommand.ErrUsage{Err: err}
	}
	ctx, cancel := limit(cmd)
	defer cancel()
	return run(ctx, vwcommand.Operator{Client: client, Output: outputOf(cmd), Progress: cmd.ErrOrStderr()})
}
