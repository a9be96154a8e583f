package vwentry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// maxRulesBytes bounds the text of the rules.
const maxRulesBytes = 1 << 20

// OperatorsHandler returns the entry's part of the HTTP interface for operators. It must not be reachable
// for callers.
func (e *Entry) OperatorsHandler() *gin.Engine {
	router := makeRouter()
	router.GET("/Rules", e.getRules)
	router.PUT("/Rules", e.putRules)
	router.GET("/Status", e.getStatus)
	router.GET("/Workers", e.getWorkers)
	router.GET("/DataCentres", e.getDataCentres)
	router.POST("/DataCentres/:Name/:Action", e.postDataCentre)
	return router
}

func (e *Entry) readConfig(ctx context.Context) (vwstate.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	config, err := vweditor.Read(ctx, e.control)
	if err != nil {
		return config, rulesUnreadable(err)
	}
	return config, nil
}

func (e *Entry) getRules(c *gin.Context) {
	config, err := e.readConfig(c.Request.Context())
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	c.JSON(http.StatusOK, vwapi.Rules{
		Version: config.Version, Text: string(config.Text), By: config.By, ChangedMillis: config.ChangedMillis,
	})
}

func (e *Entry) putRules(c *gin.Context) {
	var change vwapi.RulesChange
	if err := e.readBody(c, 2*maxRulesBytes, &change); err != nil {
		writeProblem(c, err, "")
		return
	}
	if err := checkChange(change.ChangeID, change.By); err != nil {
		writeProblem(c, err, "")
		return
	}
	changed, err := e.changeRules(c.Request.Context(), change)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	c.JSON(http.StatusOK, changed)
}

// checkChange validates the fields that control stores for each change, and bounds their length.
func checkChange(id vwid.ChangeID, by string) error {
	switch {
	case id == "" || by == "":
		return invalid("ChangeID and By must be given")
	case len(id) > maxNameBytes || len(by) > maxNameBytes:
		return invalid(fmt.Sprintf("ChangeID and By must not have more than %d bytes", maxNameBytes))
	}
	return nil
}

// changeRules proposes a change. A resend with the same ChangeID gets the first outcome, even when the
// rules have changed since.
func (e *Entry) changeRules(ctx context.Context, change vwapi.RulesChange) (*vwapi.RulesChanged, error) {
	if len(change.Text) > maxRulesBytes {
		return nil, tooLarge("the rules have %d bytes; the limit is %d", len(change.Text), maxRulesBytes)
	}
	if _, err := vwrule.Parse("rules", []byte(change.Text)); err != nil {
		return nil, refuse(vwapi.CodeInvalid, vwverdict.NotRun, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := vweditor.Propose(ctx, e.control, vwstate.Command{ChangeRules: &vwstate.ChangeRules{
		ChangeID: change.ChangeID, Base: change.Base, Text: []byte(change.Text), By: change.By,
	}})
	if err != nil {
		return nil, changeUnconfirmed(err)
	}
	if outcome.Refusal == vwstate.RefusalVersion {
		return nil, refuse(vwapi.CodeConflict, vwverdict.NotRun, "another change came first; read the rules again and apply the change to that version")
	}
	return &vwapi.RulesChanged{Version: outcome.Version}, nil
}

func (e *Entry) getStatus(c *gin.Context) {
	status, err := runOnLoop(c.Request.Context(), e, func() vwapi.Status {
		now := time.Now()
		return vwapi.Status{
			Process:     e.settings.Process,
			Incarnation: e.incarnation,
			DataCentre:  e.settings.DataCentre,
			Version:     e.appliedVersion,
			LeaseFresh:  e.holder.IsFresh(now),
			Stopping:    e.stopping,
			Workers:     len(e.agents),
			Entries:     len(e.entries.Entries),
			Waiting:     e.queue.Waiting(),
			Jobs:        e.activeJobs,
		}
	})
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	c.JSON(http.StatusOK, status)
}

func (e *Entry) getWorkers(c *gin.Context) {
	view, err := e.readRegistrations(c.Request.Context())
	if err != nil {
		writeProblem(c, refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "control cannot be read: "+reasonOf(err)), "")
		return
	}
	workers := []vwapi.Worker{}
	for i := range view.Registrations {
		r := &view.Registrations[i]
		if r.Role != vwstate.RoleAgent || r.Ended() {
			continue
		}
		workers = append(workers, vwapi.Worker{
			Process: r.Process, Incarnation: r.Incarnation, DataCentre: r.DataCentre, Rack: r.Rack,
			Service: r.Service, Slots: r.Slots, SinceMillis: r.SinceMillis,
		})
	}
	slices.SortFunc(workers, func(a, b vwapi.Worker) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	c.JSON(http.StatusOK, workers)
}

func (e *Entry) getDataCentres(c *gin.Context) {
	list, err := e.listDataCentres(c.Request.Context())
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	c.JSON(http.StatusOK, list)
}

func (e *Entry) listDataCentres(ctx context.Context) ([]vwapi.DataCentre, error) {
	config, err := e.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	rules, err := vwrule.Parse("rules", config.Text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	list := []vwapi.DataCentre{}
	for _, name := range rules.DataCentres() {
		list = append(list, vwapi.DataCentre{Name: name, Out: rules.IsOut(name)})
	}
	return list, nil
}

func (e *Entry) postDataCentre(c *gin.Context) {
	var order vwapi.DataCentreOrder
	if err := e.readBody(c, maxRulesBytes, &order); err != nil {
		writeProblem(c, err, "")
		return
	}
	if err := checkChange(order.ChangeID, order.By); err != nil {
		writeProblem(c, err, "")
		return
	}
	name := vwid.DataCentre(c.Param("Name"))
	edit, known := dataCentreEdits[c.Param("Action")]
	if !known {
		writeProblem(c, invalid("the action must be Out or In"), "")
		return
	}
	changed, err := e.editRules(c.Request.Context(), order, func(text []byte) ([]byte, error) { return edit(text, name, order.By) })
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	c.JSON(http.StatusOK, changed)
}

var dataCentreEdits = map[string]func(text []byte, name vwid.DataCentre, by string) ([]byte, error){
	"Out": vwrule.TakeOut,
	"In": func(text []byte, name vwid.DataCentre, _ string) ([]byte, error) {
		return vwrule.BringIn(text, name)
	},
}

// editRules applies an edit to the newest rules.
func (e *Entry) editRules(ctx context.Context, order vwapi.DataCentreOrder, edit func([]byte) ([]byte, error)) (*vwapi.RulesChanged, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	version, err := vweditor.Edit(ctx, e.control, vweditor.Change{ID: order.ChangeID, By: order.By}, func(config vwstate.Config) (vweditor.Revision, error) {
		// The caller may have had the order acknowledged elsewhere, and newer ones since. The log refuses the change if one of
		// them comes after these rules were read.
		if vwcaller.HasLeft(ctx) {
			return vweditor.Revision{}, refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "the caller has left")
		}
		text, err := edit(config.Text)
		if err != nil {
			return vweditor.Revision{}, invalid(err.Error())
		}
		return vweditor.Revision{Text: text, Source: config.Source}, nil
	})
	var problem *vwapi.Problem
	switch {
	case err == nil:
		return &vwapi.RulesChanged{Version: version}, nil
	case errors.As(err, &problem):
		return nil, err
	case vweditor.IsUnreadable(err):
		return nil, rulesUnreadable(err)
	case vweditor.IsConflict(err):
		return nil, refuse(vwapi.CodeConflict, vwverdict.NotRun, "other changes came first each time; try again")
	}
	return nil, changeUnconfirmed(err)
}

// rulesUnreadable returns the refusal of a call for which the newest rules cannot be read.
func rulesUnreadable(err error) error {
	return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "control cannot be read: "+reasonOf(err))
}

// changeUnconfirmed returns the refusal of a change whose outcome is unknown until it is sent again.
func changeUnconfirmed(err error) error {
	return refuse(vwapi.CodeUnavailable, vwverdict.Of(err), "control did not confirm the change; send it again with the same ChangeID: "+reasonOf(err))
}
