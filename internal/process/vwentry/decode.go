package vwentry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"time"

	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
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
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	fields := fieldReader{decoder: decoder, seen: map[string]bool{}}
	var tasks []vwjob.TaskSpec
	err := fields.read(map[string]func() error{
		"ID":            func() error { return decoder.Decode(&parsed.ID) },
		"Service":       func() error { return decoder.Decode(&parsed.Service) },
		"Team":          func() error { return decoder.Decode(&parsed.Team) },
		"TimeoutMillis": func() error { return decoder.Decode(&parsed.TimeoutMillis) },
		"Tasks": func() error {
			var err error
			tasks, err = decodeTasks(decoder, bounds)
			return err
		},
	})
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
	if err := decodeStrict(reader, &parsed); err != nil {
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
	return submission{spec: spec, digest: digestOf(spec)}, nil
}

// maxTimeoutMillis keeps a job from outliving its record in control.
const maxTimeoutMillis = 5 * 60 * 1000

// fieldReader reads the fields of one JSON object, each at most once, as a stream.
type fieldReader struct {
	decoder *json.Decoder
	seen    map[string]bool
}

func (f *fieldReader) read(fields map[string]func() error) error {
	if err := expectToken(f.decoder, json.Delim('{')); err != nil {
		return err
	}
	for f.decoder.More() {
		token, err := f.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		decode, known := fields[name]
		switch {
		case !known:
			return fmt.Errorf("unknown field %q", name)
		case f.seen[name]:
			return fmt.Errorf("field %q stands twice", name)
		}
		f.seen[name] = true
		if err := decode(); err != nil {
			return fmt.Errorf("field %q: %w", name, err)
		}
	}
	if err := expectToken(f.decoder, json.Delim('}')); err != nil {
		return err
	}
	return expectEnd(f.decoder)
}

func expectToken(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("found %v where %v must stand", token, want)
	}
	return nil
}

func expectEnd(decoder *json.Decoder) error {
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the end of the document")
	}
	return nil
}

// decodeStrict reads one JSON document without unknown fields.
func decodeStrict(reader io.Reader, into any) error {
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	return expectEnd(decoder)
}

func decodeTasks(decoder *json.Decoder, bounds limits) ([]vwjob.TaskSpec, error) {
	if err := expectToken(decoder, json.Delim('[')); err != nil {
		return nil, err
	}
	var tasks []vwjob.TaskSpec
	seen := map[vwid.TaskID]bool{}
	for decoder.More() {
		var task vwapi.Task
		if err := decoder.Decode(&task); err != nil {
			return nil, fmt.Errorf("task %d: %w", len(tasks), err)
		}
		if len(tasks) == bounds.tasks {
			return nil, &errTooLarge{message: fmt.Sprintf("the job has more than %d tasks", bounds.tasks)}
		}
		if task.ID == "" {
			return nil, fmt.Errorf("task %d has no ID", len(tasks))
		}
		if seen[task.ID] {
			return nil, fmt.Errorf("task ID %q stands twice", task.ID)
		}
		seen[task.ID] = true
		spec, err := makeTask(task, bounds)
		if err != nil {
			return nil, fmt.Errorf("task %q: %w", task.ID, err)
		}
		tasks = append(tasks, spec)
	}
	return tasks, expectToken(decoder, json.Delim(']'))
}

func makeTask(task vwapi.Task, bounds limits) (vwjob.TaskSpec, error) {
	switch {
	case len(task.Payload) == 0:
		return vwjob.TaskSpec{}, errors.New("Payload is missing")
	case len(task.Payload) > bounds.payload:
		return vwjob.TaskSpec{}, &errTooLarge{message: fmt.Sprintf("the payload has %d bytes; the limit is %d", len(task.Payload), bounds.payload)}
	case task.DeclaredRunMillis < 0 || task.DeclaredRunMillis > maxTimeoutMillis:
		return vwjob.TaskSpec{}, fmt.Errorf("DeclaredRunMillis is %d; it must be from 0 to %d", task.DeclaredRunMillis, maxTimeoutMillis)
	case task.TimeoutMillis < 0 || task.TimeoutMillis > maxTimeoutMillis:
		return vwjob.TaskSpec{}, fmt.Errorf("TimeoutMillis is %d; it must be from 0 to %d", task.TimeoutMillis, maxTimeoutMillis)
	}
	return vwjob.TaskSpec{
		ID:       task.ID,
		Payload:  task.Payload,
		Declared: time.Duration(task.DeclaredRunMillis) * time.Millisecond,
		Timeout:  time.Duration(task.TimeoutMillis) * time.Millisecond,
	}, nil
}

// errTooLarge refuses a body that exceeds a limit.
type errTooLarge struct{ message string }

// Error implements error.
func (e *errTooLarge) Error() string {
	return e.message
}

func malformed(err error) error {
	code := vwapi.CodeMalformed
	var large *errTooLarge
	if errors.As(err, &large) || isBodyLimit(err) {
		code = vwapi.CodeTooLarge
	}
	return refuse(code, vwverdict.NotRun, err.Error())
}

func invalid(message string) error {
	return refuse(vwapi.CodeInvalid, vwverdict.NotRun, message)
}

// digestOf returns a hash of what makes two submissions the same: the service, the team and the tasks.
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
