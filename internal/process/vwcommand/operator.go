package vwcommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Operator holds the commands of operators.
type Operator struct {
	Client *vwclient.Operator
	Output Output
	// Progress is where a command tells what it does.
	Progress io.Writer
}

// Change says who makes a change and how it is recognised.
type Change struct {
	// ID is empty for a new change; a resend gives that of the first attempt.
	ID vwid.ChangeID
	By string
	// Base is the version that the change starts from; zero takes the current one.
	Base vwid.ConfigVersion
}

// ChangeReport is the result of a change of the rules.
type ChangeReport struct {
	ChangeID vwid.ChangeID
	Version  vwid.ConfigVersion
	// Changes are the rules that differ from the version before.
	Changes []string `json:",omitempty"`
}

// Lines implements Report.
func (r ChangeReport) Lines() []string {
	return append(r.Changes, fmt.Sprintf("the rules are at version %d", r.Version))
}

// ApplyRules puts the rules in a file into force, after the check that the servers make.
func (o Operator) ApplyRules(ctx context.Context, path string, change Change) error {
	next, err := readRules(path)
	if err != nil {
		return refuseRules(o.Output, path, err)
	}
	text, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	current, err := o.Client.Rules(ctx)
	if err != nil {
		return readError(err)
	}
	change = o.prepare(change)
	if change.Base == 0 {
		change.Base = current.Version
	}
	changed, err := o.Client.ChangeRules(ctx, vwapi.RulesChange{ChangeID: change.ID, Base: change.Base, Text: string(text), By: change.By})
	if err != nil {
		return writeFailure(o.Output, err)
	}
	report := ChangeReport{ChangeID: change.ID, Version: changed.Version}
	if before, err := vwrule.Parse("rules", []byte(current.Text)); err == nil {
		report.Changes = vwrule.Diff(before, next)
	}
	return o.Output.Write(report)
}

// prepare gives a change its id and tells it, because a resend after a lost answer needs it.
func (o Operator) prepare(change Change) Change {
	if change.ID == "" {
		change.ID = vwid.MakeChangeID()
	}
	_, _ = fmt.Fprintf(o.Progress, "change id %s\n", change.ID)
	return change
}

// RulesText is the current rules; its text for people can be written to a rules file.
type RulesText vwapi.Rules

// Lines implements Report.
func (r RulesText) Lines() []string {
	return splitLines(r.Text)
}

// ShowRules writes the current rules.
func (o Operator) ShowRules(ctx context.Context) error {
	rules, err := o.Client.Rules(ctx)
	if err != nil {
		return readError(err)
	}
	_, _ = fmt.Fprintf(o.Progress, "version %d by %q\n", rules.Version, rules.By)
	return o.Output.Write(RulesText(*rules))
}

// CheckRules checks a rules file as CheckRules without an operator does, against the rules in force.
func (o Operator) CheckRules(ctx context.Context, path string, strict Strictness) error {
	current, err := o.Client.Rules(ctx)
	if err != nil {
		return readError(err)
	}
	return CheckRules(o.Output, path, Baseline{Name: fmt.Sprintf("version %d in force", current.Version), Text: []byte(current.Text)}, strict)
}

// TakeOut takes a data centre out of service.
func (o Operator) TakeOut(ctx context.Context, name vwid.DataCentre, change Change) error {
	return o.order(ctx, name, change, o.Client.TakeOut)
}

// BringIn brings a data centre back into service.
func (o Operator) BringIn(ctx context.Context, name vwid.DataCentre, change Change) error {
	return o.order(ctx, name, change, o.Client.BringIn)
}

type orderCall func(context.Context, vwid.DataCentre, vwapi.DataCentreOrder) (*vwapi.RulesChanged, error)

func (o Operator) order(ctx context.Context, name vwid.DataCentre, change Change, call orderCall) error {
	change = o.prepare(change)
	changed, err := call(ctx, name, vwapi.DataCentreOrder{ChangeID: change.ID, By: change.By})
	if err != nil {
		return writeFailure(o.Output, err)
	}
	return o.Output.Write(ChangeReport{ChangeID: change.ID, Version: changed.Version})
}

// ListDataCentres writes the data centres and whether they are in service.
func (o Operator) ListDataCentres(ctx context.Context) error {
	list, err := o.Client.DataCentres(ctx)
	if err != nil {
		return readError(err)
	}
	return o.Output.Write(DataCentreList(list))
}

// ListWorkers writes the registered workers.
func (o Operator) ListWorkers(ctx context.Context) error {
	workers, err := o.Client.Workers(ctx)
	if err != nil {
		return readError(err)
	}
	return o.Output.Write(WorkerList(workers))
}
