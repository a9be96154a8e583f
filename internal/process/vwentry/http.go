package vwentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// maxWait bounds the wait of one GET; the caller may repeat the call.
const maxWait = time.Minute

// CallersHandler returns the HTTP interface for callers.
func (e *Entry) CallersHandler() http.Handler {
	router := makeRouter()
	router.Use(e.endWithClosing, e.sendOn)
	router.POST("/Jobs", e.postJob)
	router.GET("/Jobs/:ID", e.getJob)
	router.DELETE("/Jobs/:ID", e.deleteJob)
	router.POST("/Requests", e.postRequest)
	return router
}

// sendOn tells a caller that should connect again to do so after the answer.
func (e *Entry) sendOn(c *gin.Context) {
	if e.ShouldLeave(c.Request.Context()) {
		c.Header("Connection", "close")
	}
}

func (e *Entry) limits() limits {
	return limits{payload: int(e.settings.MaxPayload), tasks: e.settings.MaxTasks}
}

func (e *Entry) postJob(c *gin.Context) {
	wait, err := parseWaitFlag(c)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	body, err := e.openBody(c)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	s, err := decodeSubmission(body, e.limits(), time.Now())
	body.Close()
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	s.noWait = !wait
	e.serveJob(c, s)
}

func (e *Entry) serveJob(c *gin.Context, s submission) {
	if s.spec.SubmissionID == "" {
		s.spec.SubmissionID = vwid.MakeSubmissionID()
	}
	source, err := e.submit(c.Request.Context(), s)
	if err != nil {
		writeProblem(c, err, s.spec.SubmissionID)
		return
	}
	ctx := c.Request.Context()
	if s.noWait {
		limited, cancel := context.WithTimeout(ctx, 0)
		defer cancel()
		ctx = limited
	}
	e.writeReply(ctx, c, s.spec.SubmissionID, source)
}

// writeReply waits for the answer as long as ctx allows and writes it, or the state of a job that
// still runs.
func (e *Entry) writeReply(ctx context.Context, c *gin.Context, id vwid.SubmissionID, source *answerSource) {
	if source.job == nil {
		contentType := gin.MIMEJSON
		if source.status >= http.StatusBadRequest {
			contentType = vwapi.ProblemType
			setRetryAfter(c, source.problem())
		}
		c.Data(source.status, contentType, source.body)
		return
	}
	if !waitFor(ctx, source.job) {
		c.JSON(http.StatusAccepted, vwapi.Answer{ID: id, State: vwapi.StateRunning})
		return
	}
	if source.job.Failure() != nil {
		writeDocument(c, problemOfJob(source.job))
		return
	}
	c.Header("Content-Type", gin.MIMEJSON)
	c.Status(http.StatusOK)
	if _, err := writeAnswer(c.Writer, source.job); err != nil {
		// The status has been sent. Aborting the connection shows the caller that the answer is incomplete.
		e.log.Warn("answer not written", "submission", string(id), "error", err)
		panic(http.ErrAbortHandler)
	}
	e.recordJob(vwevent.AnswerSent, source.job)
}

// waitFor reports whether j has ended, after waiting as long as ctx allows.
func waitFor(ctx context.Context, j *job) bool {
	select {
	case <-j.done:
		return true
	default:
	}
	select {
	case <-j.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) postRequest(c *gin.Context) {
	body, err := e.openBody(c)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	s, idempotent, err := decodeRequest(body, e.limits(), time.Now())
	body.Close()
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	id := s.spec.SubmissionID
	var source *answerSource
	if id != "" && !idempotent {
		source, err = e.submit(c.Request.Context(), s)
	} else {
		source = &answerSource{}
		source.job, err = e.runRequest(c.Request.Context(), s, idempotent)
	}
	if err != nil {
		writeProblem(c, err, id)
		return
	}
	e.writeRequestReply(c, id, source)
}

func (e *Entry) writeRequestReply(c *gin.Context, id vwid.SubmissionID, source *answerSource) {
	if source.job == nil {
		e.writeRemoteRequestReply(c, id, source)
		return
	}
	j := source.job
	if !waitFor(c.Request.Context(), j) {
		writeProblem(c, errClosing(), id)
		return
	}
	if id == "" {
		id = j.SubmissionID
	}
	if j.Failure() != nil {
		problem := problemOfJob(j)
		problem.ID = id
		writeDocument(c, problem)
		return
	}
	c.JSON(http.StatusOK, vwapi.RequestAnswer{ID: id, Result: resultJSON(j.Result(0))})
	e.recordJob(vwevent.AnswerSent, j)
}

// writeRemoteRequestReply converts the owner's answer for a job of one task into the answer for a request.
func (e *Entry) writeRemoteRequestReply(c *gin.Context, id vwid.SubmissionID, source *answerSource) {
	if source.status != http.StatusOK {
		setRetryAfter(c, source.problem())
		c.Data(source.status, vwapi.ProblemType, source.body)
		return
	}
	var answer vwapi.Answer
	if err := json.Unmarshal(source.body, &answer); err != nil || len(answer.Results) != 1 {
		writeProblem(c, refuse(vwapi.CodeUnavailable, vwverdict.Ran, "the owner's answer cannot be read"), id)
		return
	}
	c.JSON(http.StatusOK, vwapi.RequestAnswer{ID: answer.ID, Result: answer.Results[0].Result})
}

func (e *Entry) getJob(c *gin.Context) {
	id, err := parseID(c)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	wait, err := parseWait(c)
	if err != nil {
		writeProblem(c, err, id)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), wait)
	defer cancel()
	source, err := e.find(c.Request.Context(), ctx, id)
	if err != nil {
		writeProblem(c, err, id)
		return
	}
	e.writeReply(ctx, c, id, source)
}

// find returns the source of a job's answer. If another entry owns the job, find waits for its answer until
// waitCtx is done.
func (e *Entry) find(ctx, waitCtx context.Context, id vwid.SubmissionID) (*answerSource, error) {
	j, err := runOnLoop(ctx, e, func() *job {
		if j := e.jobs[id]; j != nil && !j.ownershipLost {
			return j
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if j != nil {
		return &answerSource{job: j}, nil
	}
	owner, record, err := e.findOwner(ctx, id)
	if err != nil {
		return nil, err
	}
	if record.Phase != vwstate.PhaseRunning {
		return e.fetchEndedAnswer(ctx, owner, record)
	}
	source, err := e.awaitOwner(waitCtx, owner, record)
	if err != nil {
		return nil, err
	}
	if source == nil {
		return nil, refuse(vwapi.CodeStillRunning, vwverdict.MayHaveRun, "the job's owner has not answered yet; ask again")
	}
	return source, nil
}

func (e *Entry) findOwner(ctx context.Context, id vwid.SubmissionID) (*vwstate.Registration, *vwstate.Submission, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	view, err := e.control.Read(ctx, vwstate.Query{SubmissionID: id, Registrations: true})
	if err != nil {
		return nil, nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "control cannot be read: "+reasonOf(err))
	}
	if view.Submission == nil {
		// A submission with this id may be in flight, so the verdict cannot be NotRun.
		return nil, nil, refuse(vwapi.CodeUnknownJob, vwverdict.MayHaveRun, "control has no record of the job; it is safe to submit it again with the same id")
	}
	owner := findLive(view.Registrations, view.Submission.Owner)
	if owner == nil {
		return nil, nil, refuse(vwapi.CodeOwnerLost, vwverdict.MayHaveRun, "submit the job again with the same id and body; no task starts twice")
	}
	return owner, view.Submission, nil
}

func (e *Entry) deleteJob(c *gin.Context) {
	id, err := parseID(c)
	if err != nil {
		writeProblem(c, err, "")
		return
	}
	ctx := c.Request.Context()
	known, err := runOnLoop(ctx, e, func() bool { return e.cancelJob(id) })
	if err == nil && !known {
		err = e.cancelAtOwner(ctx, id)
	}
	if err != nil {
		writeProblem(c, err, id)
		return
	}
	c.Status(http.StatusNoContent)
}

// cancelJob fails a job of this entry as cancelled. It reports whether the entry has the job.
func (e *Entry) cancelJob(id vwid.SubmissionID) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.recordJob(vwevent.Cancelled, j)
	e.failJob(j, codeCancelled, "the job was cancelled")
	return true
}

func (e *Entry) cancelAtOwner(ctx context.Context, id vwid.SubmissionID) error {
	owner, record, err := e.findOwner(ctx, id)
	if err != nil {
		return err
	}
	session, err := e.peers.Get(ctx, owner.Address)
	if err == nil {
		_, err = vwlink.Call[*vwmessage.Ping](ctx, session, &vwmessage.Cancel{SubmissionID: id, Epoch: record.Epoch})
	}
	if err != nil {
		return refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "the job's owner did not confirm the cancellation: "+reasonOf(err))
	}
	return nil
}

func writeProblem(c *gin.Context, err error, id vwid.SubmissionID) {
	writeDocument(c, problemOf(err, id))
}

func writeDocument(c *gin.Context, problem *vwapi.Problem) {
	setRetryAfter(c, problem)
	c.Header("Content-Type", vwapi.ProblemType)
	c.JSON(problem.Status, problem)
}
