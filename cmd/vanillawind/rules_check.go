package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const rulesCheckHelp = `Reads a rules file by the code that the servers use, and reports every fault of it at once, each with
file, line, column and what to write instead. A file without faults is reviewed for entries that never match and values that
make others meaningless; these are warnings, and with --strict they refuse the file. With --against it shows what differs from
another file, with --in-force from the rules in force, for which it asks an entry. It changes nothing.`

func makeRulesCheck() *cobra.Command {
	cmd := addOperatorFlags(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a rules file and report every fault",
		Long:  rulesCheckHelp,
		Example: "  vanillawind rules check examples/viitepaja/rules.toml\n" +
			"  vanillawind rules check --strict --in-force rules.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			strict := strictnessOf(cmd)
			if inForce, _ := cmd.Flags().GetBool("in-force"); inForce {
				return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
					return operator.CheckRules(ctx, args[0], strict)
				})
			}
			earlier, err := baselineOf(cmd)
			if err != nil {
				return err
			}
			return vwcommand.CheckRules(outputOf(cmd), args[0], earlier, strict)
		},
	})
	cmd.Flags().Bool("in-force", false, "show what differs from the rules in force")
	addCheckFlags(cmd, "in-force")
	return cmd
}

// addCheckFlags adds the flags of all checks. The earlier version comes from a file or from what the flag other names.
func addCheckFlags(cmd *cobra.Command, other string) {
	cmd.Flags().String("against", "", "file of an earlier version, to show what differs from it")
	cmd.Flags().Bool("strict", false, "refuse the file for warnings, too")
	cmd.MarkFlagsMutuallyExclusive("against", other)
}

func strictnessOf(cmd *cobra.Command) vwcommand.Strictness {
	strict, _ := cmd.Flags().GetBool("strict")
	return vwcommand.Strictness(strict)
}

func baselineOf(cmd *cobra.Command) (vwcommand.Baseline, error) {
	path, _ := cmd.Flags().GetString("against")
	return vwcommand.ReadBaseline(path)
}
