package vwapi

import "vanillawind.example/vanillawind/pkg/vwid"

// Rules is the current configuration.
type Rules struct {
	Version       vwid.ConfigVersion
	Text          string
	By            string
	ChangedMillis int64
}

// RulesChange replaces the rules when Base is the current version. A resend with the same ChangeID
// gets the first outcome.
type RulesChange struct {
	ChangeID vwid.ChangeID
	Base     vwid.ConfigVersion
	Text     string
	By       string
}

// RulesChanged is the outcome of a change that was carried out.
type RulesChanged struct {
	Version vwid.ConfigVersion
}

// Status tells how an entry fares.
type Status struct {
	Process     vwid.Process
	Incarnation vwid.Incarnation
	DataCentre  vwid.DataCentre
	Version     vwid.ConfigVersion
	LeaseFresh  bool
	Stopping    bool
	Workers     int
	Entries     int
	Waiting     int
	Jobs        int
}

// Worker is a registered agent with what its backend server offers.
type Worker struct {
	Process     vwid.Process
	Incarnation vwid.Incarnation
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	Service     vwid.Service
	Slots       int
	SinceMillis int64
}

// DataCentre is a data centre that the rules declare.
type DataCentre struct {
	Name vwid.DataCentre
	Out  bool
}

// DataCentreOrder takes a data centre out or brings it back in.
type DataCentreOrder struct {
	ChangeID vwid.ChangeID
	// By says who asked for it; it becomes the comment of the rule.
	By string
}
