package main

import "github.com/spf13/cobra"

const dataCentreHelp = `Takes data centres out of service and brings them back. Both are changes of the rules: they survive
restarts, and "rules show" names who made them.`

func makeDataCentre() *cobra.Command {
	return makeGroup("datacentre", "Take data centres out of service and back", dataCentreHelp,
		makeDataCentreOut(), makeDataCentreIn(), makeDataCentreList())
}
