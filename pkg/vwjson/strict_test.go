package vwjson_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwjson"
)

type document struct {
	Name    string
	Number  uint64 `json:",omitempty"`
	Fine    bool
	Payload json.RawMessage
	hidden  string
}

// A body that two readers could understand differently must be refused, with a text that says where.
func TestDecode(t *testing.T) {
	cases := map[string]struct{ body, fault string }{
		"whole":           {`{"Name":"a","Number":7,"Fine":true,"Payload":{"x":[1]}}`, ""},
		"empty object":    {` {} `, ""},
		"empty":           {"", "the body ends early"},
		"ends early":      {`{"Name":"a"`, "the body ends early"},
		"ends in a value": {`{"Name":"a`, `field "Name": the body ends early`},
		"unknown":         {`{"Nam":1}`, `unknown field "Nam"`},
		"unexported":      {`{"hidden":"x"}`, `unknown field "hidden"`},
		"other case":      {`{"name":"a"}`, `unknown field "name"`},
		"repeated":        {`{"Name":"a","Name":"a"}`, `field "Name" stands twice`},
		"escaped repeat":  {`{"Name":"a","\u004eame":"b"}`, `field "Name" stands twice`},
		"string":          {`{"Name":7}`, `field "Name": must be a string, not number`},
		"number":          {`{"Number":"7"}`, `field "Number": must be a whole number, not string`},
		"negative":        {`{"Number":-1}`, `field "Number": must be a whole number, not number -1`},
		"bool":            {`{"Fine":1}`, `field "Fine": must be true or false, not number`},
		"array":           {`[]`, "found [ where { must stand"},
		"text":            {`"x"`, "found x where { must stand"},
		"trailing":        {`{} {}`, "something follows the end of the document"},
		"trailing noise":  {`{} x`, "something follows the end of the document"},
		"no JSON":         {`a=b`, "invalid character 'a' looking for beginning of value"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var read document
			err := vwjson.Decode(iotest.OneByteReader(strings.NewReader(c.body)), &read)
			if c.fault == "" {
				require.NoError(t, err)
				return
			}
			require.EqualError(t, err, c.fault)
			require.Equal(t, strings.HasPrefix(c.fault, "unknown"), vwjson.IsUnknownField(err))
			require.Empty(t, read.hidden)
		})
	}
}

// A failure of the connection must keep its cause, which tells whether the body was too long.
func TestReadError(t *testing.T) {
	var read document
	require.ErrorIs(t, vwjson.Decode(iotest.ErrReader(iotest.ErrTimeout), &read), iotest.ErrTimeout)
	require.ErrorIs(t, vwjson.End(json.NewDecoder(iotest.ErrReader(iotest.ErrTimeout))), iotest.ErrTimeout)
}
