package vwrule_test

import (
	"fmt"

	"vanillawind.example/vanillawind/internal/version/vwrule"
)

func ExampleParse() {
	rules, err := vwrule.Parse("rules.toml", []byte(`
Service.muotoilu = {} # Aino Salo
Team.gradu = {} # Aino Salo
Share.muotoilu.gradu = { Weight = 3 } # Aino Salo: decision of 2 March
Quota.muotoilu.All = { Slots = 40 } # Onni Laine
`))
	policy := rules.Team("muotoilu", "gradu")
	fmt.Println(err, policy.Weight, policy.Quota)

	_, err = vwrule.Parse("rules.toml", []byte("Team.gradu = {}\n"))
	for _, fault := range vwrule.FaultsOf(err) {
		fmt.Println(fault)
	}
	// Output:
	// <nil> 3 40
	// rules.toml:1:16: the rule does not say who asked for it; add a comment at the end of the line, such as # Aino Salo, operations
}
