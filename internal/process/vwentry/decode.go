package vwentry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwjson"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// limits bounds what one body may hold.
type limits struct {
	payload int
	tasks   int
}

// decodeSubmission reads a job from a stream. Tasks are read one at a time, so that the body is held
// in memory once.
func decodeSubmission(reader io.Reader, bounds limits, now time.Time) (submission, error) {
	var parsed vwapi.Submission
	var tasks []vwjob.TaskSpec
	decoder := json.NewDecoder(reader)
	err := vwjson.Object(decoder, func(name string) (err error) {
		switch name {
		case "ID":
			return vwjson.Value(decoder, &parsed.ID)
		case "Service":
			return vwjson.Value(decoder, &parsed.Service)
		case "Team":
			return vwjson.Value(decoder, &parsed.Team)
		case "TimeoutMillis":
			return vwjson.Value(decoder, &parsed.TimeoutMillis)
		case "Tasks":
			tasks, err = decodeTasks(decoder, bounds)
			return err
		}
		return vwjson.ErrUnknownField{Name: name}
	})
	if err == nil {
		err = vwjson.End(decoder)
	}
	if err != nil {
		return submission{}, malformed(err)
	}
	if len(tasks) == 0 {
		return submission{}, invalid("Tasks is empty; a job has at least one task")
	}
	spec := vwjob.Spec{SubmissionID: parsed.ID, Service: parsed.Service, Team: parsed.Team, Tasks: tasks}
	return makeSubmission(spec, parsed.TimeoutMillis, now)
}

// decodeRequest reads a single request.
func decodeRequest(reader io.Reader, bounds limits, now time.Time) (submission, bool, error) {
	var parsed vwapi.Request
	if err := vwjson.Decode(reader, &parsed); err != nil {
		return submission{}, false, malformed(err)
	}
	task := vwapi.Task{ID: requestTask, Payload: parsed.Payload, DeclaredRunMillis: parsed.DeclaredRunMillis}
	spec, err := makeTask(task, bounds)
	if err != nil {
		return submission{}, false, malformed(err)
	}
	s, err := makeSubmission(vwjob.Spec{
		SubmissionID: parsed.ID, Service: parsed.Service, Team: parsed.Team, Tasks: []vwjob.TaskSpec{spec},
	}, parsed.TimeoutMillis, now)
	return s, parsed.Idempotent, err
}

func makeSubmission(spec vwjob.Spec, timeoutMillis int64, now time.Time) (submission, error) {
	switch {
	case spec.Service == "":
		return submission{}, invalid("Service is missing")
	case spec.Team == "":
		return submission{}, invalid("Team is missing")
	case len(spec.Service) > maxNameBytes || len(spec.Team) > maxNameBytes:
		return submission{}, invalid(fmt.Sprintf("Service and Team must not have more than %d bytes", maxNameBytes))
	case timeoutMillis < 0 || timeoutMillis > maxTimeoutMillis:
		return submission{}, invalid(fmt.Sprintf("TimeoutMillis is %d; it must be from 0 to %d", timeoutMillis, maxTimeoutMillis))
	}
	if spec.SubmissionID != "" {
		if _, err := vwid.SubmissionTime(spec.SubmissionID); err != nil {
			return submission{}, invalid("ID must be a UUID of version 7: " + err.Error())
		}
	}
	if timeoutMillis > 0 {
		spec.Deadline = now.Add(time.Duration(timeoutMillis) * time.Millisecond)
	}
	return submission{spec: spec, hasCallerID: spec.SubmissionID != "", digest: digestOf(spec)}, nil
}

// maxTimeoutMillis keeps a job from outliving its record in control.
const maxTimeoutMillis = 5 * 60 * 1000

func decodeTasks(decoder *json.Decoder, bounds limits) ([]vwjob.TaskSpec, error) {
	var tasks []vwjob.TaskSpec
	seen := map[vwid.TaskID]bool{}
	var scratch json.RawMessage
	err := vwjson.Array(decoder, func() error {
		if len(tasks) == bounds.tasks {
			return tooLarge("the job has more than %d tasks", bounds.tasks)
		}
		var task vwapi.Task
		if err := vwjson.Struct(decoder, &scratch, &task); err != nil {
			return fmt.Errorf("task %d: %w", len(tasks), err)
		}
		switch {
		case task.ID == "":
			return invalid(fmt.Sprintf("task %d has no ID", len(tasks)))
		case len(task.ID) > maxNameBytes:
			return invalid(fmt.Sprintf("task %d has an ID of %d bytes; the limit is %d", len(tasks), len(task.ID), maxNameBytes))
		case seen[task.ID]:
			return invalid(fmt.Sprintf("task ID %q stands twice", task.ID))
		}
		seen[task.ID] = true
		spec, err := makeTask(task, bounds)
		tasks = append(tasks, spec)
		return err
	})
	return tasks, err
}

// maxNameBytes bounds the names that callers choose. A message between processes has room for many of them.
const maxNameBytes = 256

func makeTask(task vwapi.Task, bounds limits) (vwjob.TaskSpec, error) {
	switch {
	case len(task.Payload) == 0:
		return vwjob.TaskSpec{}, invalid(fmt.Sprintf("task %q has no Payload", task.ID))
	case len(task.Payload) > bounds.payload:
		return vwjob.TaskSpec{}, tooLarge("the payload of task %q has %d bytes; the limit is %d", task.ID, len(task.Payload), bounds.payload)
	case task.DeclaredRunMillis < 0 || task.DeclaredRunMillis > maxTimeoutMillis:
		return vwjob.TaskSpec{}, invalid(fmt.Sprintf("DeclaredRunMillis of task %q is %d; it must be from 0 to %d", task.ID, task.DeclaredRunMillis, maxTimeoutMillis))
	case task.TimeoutMillis < 0 || task.TimeoutMillis > maxTimeoutMillis:
		return vwjob.TaskSpec{}, invalid(fmt.Sprintf("TimeoutMillis of task %q is %d; it must be from 0 to %d", task.ID, task.TimeoutMillis, maxTimeoutMillis))
	}
	return vwjob.TaskSpec{
		ID:       task.ID,
		Payload:  task.Payload,
		Declared: time.Duration(task.DeclaredRunMillis) * time.Millisecond,
		Timeout:  time.Duration(task.TimeoutMillis) * time.Millisecond,
	}, nil
}

// malformed returns the refusal for a body that cannot be decoded. A problem document in err takes precedence.
func malformed(err error) error {
	var wrapped *vwapi.Problem
	var limit *http.MaxBytesError
	var refused vwintake.ErrRefused
	switch {
	case errors.As(err, &wrapped):
		return refuse(wrapped.Code, wrapped.Verdict, wrapped.Detail)
	case errors.As(err, &refused):
		return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, refused.Error())
	case errors.As(err, &limit):
		return tooLarge("the body has more than %d bytes", limit.Limit)
	}
	return refuse(vwapi.CodeMalformed, vwverdict.NotRun, err.Error())
}

func tooLarge(format string, args ...any) error {
	return refuse(vwapi.CodeTooLarge, vwverdict.NotRun, fmt.Sprintf(format, args...))
}

func invalid(message string) error {
	return refuse(vwapi.CodeInvalid, vwverdict.NotRun, message)
}

// digestOf returns a hash of the service, the team and the tasks; submissions with equal hashes are the same.
func digestOf(spec vwjob.Spec) string {
	sum := sha256.New()
	hashText(sum, []byte(spec.Service))
	hashText(sum, []byte(spec.Team))
	for i := range spec.Tasks {
		hashText(sum, []byte(spec.Tasks[i].ID))
		hashText(sum, spec.Tasks[i].Payload)
	}
	return string(sum.Sum(nil))
}

func hashText(sum hash.Hash, text []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	sum.Write(length[:])
	sum.Write(text)
}
