package vwclient_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
)

// A change whose answer is lost must be sent again under the same change id, or it is made twice; its
// conflict then is that of the first attempt, so nothing has changed.
func TestOperatorResends(t *testing.T) {
	rules := func(ctx context.Context, o *vwclient.Operator) error {
		_, err := o.ChangeRules(ctx, vwapi.RulesChange{Base: 2, Text: "x", By: "Ana"})
		return err
	}
	out := func(ctx context.Context, o *vwclient.Operator) error {
		_, err := o.TakeOut(ctx, "San José", vwapi.DataCentreOrder{By: "Ana"})
		return err
	}
	conflict := problem(http.StatusConflict, "NotRun", vwapi.CodeConflict)
	cases := map[string]struct {
		call  func(context.Context, *vwclient.Operator) error
		steps []step
		path  string
		check func(error) bool
	}{
		"lost answer":                  {rules, []step{drop, fine(`{"Version":`), fine(`{"Version":3}`)}, "PUT /Rules", nil},
		"lost answer of a conflict":    {rules, []step{drop, drop, conflict}, "PUT /Rules", vwclient.IsNotRun},
		"data centre":                  {out, []step{drop, drop, fine(`{"Version":3}`)}, "POST /DataCentres/San%20Jos%C3%A9/Out", nil},
		"data centre after a lost one": {out, []step{drop, drop, conflict}, "POST /DataCentres/San%20Jos%C3%A9/Out", vwclient.IsMayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := &script{steps: c.steps}
				operator, err := vwclient.MakeOperator(entries.settings())
				require.NoError(t, err)
				err = c.call(t.Context(), operator)
				require.Equal(t, c.check == nil, err == nil, "%v", err)
				require.True(t, c.check == nil || c.check(err), "%v", err)
				require.Len(t, entries.bodies, 3)
				require.Contains(t, entries.bodies[0], `"ChangeID":"`)
				for i, body := range entries.bodies {
					require.Equal(t, entries.bodies[0], body)
					require.Equal(t, c.path, entries.paths[i])
				}
			})
		})
	}
}
