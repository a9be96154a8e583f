package vwclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Operator makes the calls of operators. Its Settings name the operators' addresses of entries. It is
// safe for concurrent use.
type Operator struct{ sender *sender }

// MakeOperator returns an operators' client without connections.
func MakeOperator(settings Settings) (*Operator, error) {
	s, err := makeSender(settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Operator{sender: s}, nil
}

// Rules returns the current rules.
func (o *Operator) Rules(ctx context.Context) (*vwapi.Rules, error) {
	return get[vwapi.Rules](ctx, o.sender, "/Rules")
}

// ChangeRules replaces the rules when Base is their current version, and otherwise fails with
// CodeConflict. A change without a ChangeID gets one. All attempts carry the same, so that the change
// is made at most once; a caller that gives up and calls again with it learns the first outcome.
func (o *Operator) ChangeRules(ctx context.Context, change vwapi.RulesChange) (*vwapi.RulesChanged, error) {
	if change.ChangeID == "" {
		change.ChangeID = vwid.MakeChangeID()
	}
	return put[vwapi.RulesChanged](ctx, o.sender, http.MethodPut, "/Rules", change, true)
}

// TakeOut takes a data centre out of service. The answer comes once the change is in the rules; no task
// starts there a few seconds later.
func (o *Operator) TakeOut(ctx context.Context, name vwid.DataCentre, order vwapi.DataCentreOrder) (*vwapi.RulesChanged, error) {
	return o.order(ctx, name, "Out", order)
}

// BringIn brings a data centre back into service.
func (o *Operator) BringIn(ctx context.Context, name vwid.DataCentre, order vwapi.DataCentreOrder) (*vwapi.RulesChanged, error) {
	return o.order(ctx, name, "In", order)
}

func (o *Operator) order(ctx context.Context, name vwid.DataCentre, action string, order vwapi.DataCentreOrder) (*vwapi.RulesChanged, error) {
	if order.ChangeID == "" {
		order.ChangeID = vwid.MakeChangeID()
	}
	path := "/DataCentres/" + url.PathEscape(string(name)) + "/" + action
	return put[vwapi.RulesChanged](ctx, o.sender, http.MethodPost, path, order, false)
}

// DataCentres returns the data centres that the rules declare.
func (o *Operator) DataCentres(ctx context.Context) ([]vwapi.DataCentre, error) {
	list, err := get[[]vwapi.DataCentre](ctx, o.sender, "/DataCentres")
	if err != nil {
		return nil, err
	}
	return *list, nil
}

// Workers returns the registered workers.
func (o *Operator) Workers(ctx context.Context) ([]vwapi.Worker, error) {
	list, err := get[[]vwapi.Worker](ctx, o.sender, "/Workers")
	if err != nil {
		return nil, err
	}
	return *list, nil
}

// Status returns how one entry fares. With several addresses it is any of them.
func (o *Operator) Status(ctx context.Context) (*vwapi.Status, error) {
	return get[vwapi.Status](ctx, o.sender, "/Status")
}

func get[T any](ctx context.Context, s *sender, path string) (*T, error) {
	value := new(T)
	err := s.send(ctx, call{method: http.MethodGet, path: path, repeatable: true, decode: decodeInto(value)})
	if err != nil {
		return nil, err
	}
	return value, nil
}

func put[T any](ctx context.Context, s *sender, method, path string, body any, settled bool) (*T, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, trace.Wrap(err))
	}
	value := new(T)
	err = s.send(ctx, call{method: method, path: path, body: data, repeatable: true, settled: settled, decode: decodeInto(value)})
	if err != nil {
		return nil, err
	}
	return value, nil
}

func decodeInto[T any](value *T) func(int, []byte) error {
	return func(_ int, body []byte) error {
		// A shorter answer of a later attempt must not keep fields of an earlier one.
		*value = *new(T)
		return trace.Wrap(json.Unmarshal(body, value))
	}
}
