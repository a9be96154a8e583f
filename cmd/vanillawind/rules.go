package main

import "github.com/spf13/cobra"

const rulesHelp = `The rules file says how the capacity is shared. It is TOML with one rule a line:

  Service.muotoilu = {}                  # Aino Salo, board
  Team.gradu = {}                        # Aino Salo, board
  Share.muotoilu.gradu = { Weight = 3 }  # Aino Salo, board: decision of 2 March

The comment says who asked for the rule and must not be missing. docs/operator/rules.md describes every
kind of rule.`

func makeRules() *cobra.Command {
	return makeGroup("rules", "Work with the rules file", rulesHelp, makeRulesCheck(), makeRulesDiff(), makeRulesApply(), makeRulesShow())
}
