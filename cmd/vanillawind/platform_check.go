package main

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/platform"
)

const platformCheckHelp = `Checks a configuration of the users' platform before it is sent, by the code that control members
use. It reports what they would refuse, entries that never match, values that make others meaningless, values that are
adjusted, and fields whose names are misspelt and ignored. With --against it compares with a file, with --control with the configuration in
force, for which it asks a control member: it shows the rules that differ, and refuses a version that is not
higher. Warnings refuse the file with --strict only. It changes nothing.`

func makePlatformCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a configuration before it is sent",
		Long:    platformCheckHelp,
		Example: "  vanillawind platform check --against config-7.json config-8.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0]) // #nosec G304 -- the operator names the file
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			earlier, err := baselineOf(cmd)
			if control, _ := cmd.Flags().GetString("control"); control != "" {
				earlier, err = vwplatform.ReadConfigInForce(cmd.Context(), control)
			}
			if err != nil {
				return err
			}
			report := vwplatform.CheckConfig(args[0], text, earlier)
			return vwcommand.WriteCheck(outputOf(cmd), args[0], report, report.Findings, strictnessOf(cmd))
		},
	}
	cmd.Flags().String("control", "", "operators' address of a control member, such as http://10.0.0.1:8080")
	addCheckFlags(cmd, "control")
	return cmd
}
