package vwentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwjson"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

var fuzzLimits = limits{payload: 64, tasks: 4}

// encodeSubmission encodes a submission as a body, with its payloads unchanged.
func encodeSubmission(t *testing.T, s submission, now time.Time) []byte {
	var body bytes.Buffer
	quoted := func(name any) []byte {
		text, err := json.Marshal(name)
		require.NoError(t, err)
		return text
	}
	timeout := int64(0)
	if !s.spec.Deadline.IsZero() {
		timeout = s.spec.Deadline.Sub(now).Milliseconds()
	}
	_, _ = fmt.Fprintf(&body, `{"ID":%s,"Service":%s,"Team":%s,"TimeoutMillis":%d,"Tasks":[`, quoted(s.spec.SubmissionID), quoted(s.spec.Service), quoted(s.spec.Team), timeout)
	for i, task := range s.spec.Tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&body, `{"ID":%s,"DeclaredRunMillis":%d,"TimeoutMillis":%d,"Payload":%s}`, quoted(task.ID), task.Declared.Milliseconds(), task.Timeout.Milliseconds(), task.Payload)
	}
	body.WriteString("]}")
	return body.Bytes()
}

// requireRefusal checks that an error yields a complete problem document with the verdict NotRun.
func requireRefusal(t *testing.T, err error) {
	problem := problemOf(err, "")
	require.Equal(t, vwverdict.NotRun, problem.Verdict)
	require.NotEmpty(t, problem.Title)
	require.NotEmpty(t, problem.Detail)
	require.GreaterOrEqual(t, problem.Status, 400)
	var known *vwapi.Problem
	require.True(t, errors.As(err, &known))
}

// A body must be refused with a problem document, or decode unambiguously: the decoded submission, encoded and
// decoded again, must be equal and have the same digest.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(`{"Service":"s","Team":"t","TimeoutMillis":5,"Tasks":[{"ID":"a","Payload":{"x":[1,null]},"DeclaredRunMillis":3},{"ID":"b","Payload":"y"}]}`))
	f.Add([]byte(`{"ID":"01890a5d-ac96-774b-bcce-b302099a8057","Service":"s","Team":"t","Tasks":[{"ID":"a","Payload":1}]}`))
	f.Add([]byte(`{"Tasks":[{"ID":"a","Payload":1},{"ID":"a","Payload":1}]}`))
	f.Add([]byte(`{"Service":"s","Service":"t"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.UnixMilli(1_700_000_000_000)
		first, err := decodeSubmission(bytes.NewReader(data), fuzzLimits, now)
		if err != nil {
			requireRefusal(t, err)
			return
		}
		require.LessOrEqual(t, len(first.spec.Tasks), fuzzLimits.tasks)
		again, err := decodeSubmission(bytes.NewReader(encodeSubmission(t, first, now)), fuzzLimits, now)
		require.NoError(t, err)
		require.Equal(t, first, again)
	})
}

// The same as for submissions; a request is decoded into a job of one task.
func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"Service":"s","Team":"t","Idempotent":true,"TimeoutMillis":5,"DeclaredRunMillis":3,"Payload":{"x":1}}`))
	f.Add([]byte(`{"ID":"01890a5d-ac96-774b-bcce-b302099a8057","Service":"s","Team":"t","Payload":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.UnixMilli(1_700_000_000_000)
		first, idempotent, err := decodeRequest(bytes.NewReader(data), fuzzLimits, now)
		if err != nil {
			requireRefusal(t, err)
			return
		}
		var parsed vwapi.Request
		require.NoError(t, vwjson.Decode(bytes.NewReader(data), &parsed))
		require.Equal(t, parsed.Idempotent, idempotent)
		again, err := decodeSubmission(bytes.NewReader(encodeSubmission(t, first, now)), fuzzLimits, now)
		require.NoError(t, err)
		require.Equal(t, first, again)
	})
}

// Guards the same properties for the bodies that operators send: refusal with a problem document, or a value that
// encodes and decodes to itself.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"ChangeID":"c","Base":1,"Text":"x","By":"Ana"}`))
	f.Add([]byte(`{"ChangeID":"c","Base":18446744073709551615,"Text":"\ud800","By":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, again vwapi.RulesChange
		if err := vwjson.Decode(bytes.NewReader(data), &first); err != nil {
			requireRefusal(t, malformed(err))
			return
		}
		written, err := json.Marshal(first)
		require.NoError(t, err)
		require.NoError(t, vwjson.Decode(bytes.NewReader(written), &again))
		require.Equal(t, first, again)
	})
}
