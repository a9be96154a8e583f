package main

import "github.com/spf13/cobra"

const settingsHelp = `The settings file of a process says its role, addresses, data centre, files and limits. It is read once,
when the process starts. examples/settings shows every key of each role with its default, and
docs/operator/settings.md describes them.`

func makeSettings() *cobra.Command {
	return makeGroup("settings", "Work with the settings of a process", settingsHelp, makeSettingsCheck())
}
