package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const rulesApplyHelp = `Checks a rules file and puts it into force in the whole cluster. It writes the rules that differ from the
version before.

Give the version that the file was made from with --base: when another operator has changed the rules
since, the change is refused with exit code 3 and nothing of theirs is lost. Without --base the file
replaces whatever is current.

The change id is written before the first attempt. After exit code 4, run the command again with
--change-id and the same file and base: it reports the first outcome, and makes no second change.`

func makeRulesApply() *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Put a rules file into force",
		Long:    rulesApplyHelp,
		Example: `  vanillawind rules apply --by "Aino Salo, board" --base 12 rules.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				change := changeOf(cmd)
				change.Base = vwid.ConfigVersion(base)
				return operator.ApplyRules(ctx, args[0], change)
			})
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the file was made from; 0 takes the current one")
	return addChangeFlags(cmd)
}
