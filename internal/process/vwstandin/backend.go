// Package vwstandin is a stand-in backend server for the demo, for tests and for load tests. It runs
// tasks that say how long they take, and keeps a record of every start, against which the promises
// of the system are checked from outside.
package vwstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// maxPayload bounds the body of one task.
const maxPayload = 16 << 20

// Backend runs tasks and records their starts. It is an http.Handler.
type Backend struct {
	config Config
	log    log
	router *gin.Engine

	mu        sync.Mutex
	behaviour Behaviour
	// changed is closed when behaviour changes, which releases hanging tasks.
	changed chan struct{}
}

var releaseMode = sync.OnceFunc(func() { gin.SetMode(gin.ReleaseMode) })

// MakeBackend returns a backend that runs tasks of config.Service in ModeNormal.
func MakeBackend(config Config) *Backend {
	backend := &Backend{config: config, behaviour: Behaviour{Mode: ModeNormal}, changed: make(chan struct{})}
	backend.log.record = Record{
		Worker: config.Worker, Incarnation: vwid.MakeIncarnation(), DataCentre: config.DataCentre, Slots: config.Slots,
	}
	releaseMode()
	router := gin.New()
	router.POST("/Tasks/:Service", backend.runTask)
	router.GET("/Starts", backend.getStarts)
	router.PUT("/Behaviour", backend.putBehaviour)
	backend.router = router
	return backend
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	b.router.ServeHTTP(writer, request)
}

// Starts returns the record of every start so far.
func (b *Backend) Starts() Record {
	return b.log.snapshot(0)
}

// SetBehaviour changes how tasks are treated and releases those that hang.
func (b *Backend) SetBehaviour(behaviour Behaviour) error {
	if err := behaviour.check(); err != nil {
		return trace.Wrap(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func (b *Backend) current() (Behaviour, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour, b.changed
}

func (b *Backend) getStarts(c *gin.Context) {
	from, err := strconv.Atoi(c.DefaultQuery("From", "0"))
	if err != nil {
		c.String(http.StatusBadRequest, "From is not a number")
		return
	}
	c.JSON(http.StatusOK, b.log.snapshot(from))
}

func (b *Backend) putBehaviour(c *gin.Context) {
	var behaviour Behaviour
	err := c.ShouldBindJSON(&behaviour)
	if err == nil {
		err = b.SetBehaviour(behaviour)
	}
	if err != nil {
		c.String(http.StatusBadRequest, trace.UserMessage(err))
		return
	}
	c.Status(http.StatusNoContent)
}

// runTask records the start before it reads the body: a task whose body never arrives whole has
// still reached the backend server.
func (b *Backend) runTask(c *gin.Context) {
	index := b.log.begin(startOf(c))
	outcome, status, body := b.run(c, index)
	// The end is recorded before the answer is sent, so that whoever has the answer finds it.
	b.log.end(index, outcome)
	if outcome == OutcomeAborted {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Data(status, "application/json", body)
}

func (b *Backend) run(c *gin.Context, index int) (Outcome, int, []byte) {
	if service := vwid.Service(c.Param("Service")); service != b.config.Service {
		return OutcomeFailed, http.StatusNotFound, []byte(`"unknown service"`)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxPayload))
	if err != nil {
		return OutcomeAborted, 0, nil
	}
	payload, err := parsePayload(body)
	if err != nil {
		return OutcomeFailed, http.StatusBadRequest, []byte(strconv.Quote(trace.UserMessage(err)))
	}
	b.log.tag(index, payload.Tag)
	failed, err := b.work(c.Request.Context(), payload)
	switch {
	case err != nil:
		return OutcomeAborted, 0, nil
	case failed:
		return OutcomeFailed, http.StatusInternalServerError, []byte(`"failed on request"`)
	default:
		return OutcomeDone, http.StatusOK, payload.result()
	}
}

// work takes the time that payload and behaviour ask for and reports whether the task fails.
func (b *Backend) work(ctx context.Context, payload Payload) (failed bool, err error) {
	behaviour, changed := b.current()
	for behaviour.Mode == ModeHang {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-changed:
			behaviour, changed = b.current()
		}
	}
	if behaviour.Mode == ModeFail {
		return true, nil
	}
	return payload.Fail, vwgroup.Sleep(ctx, payload.runTime(behaviour))
}

func startOf(c *gin.Context) Start {
	epoch, _ := strconv.ParseUint(c.GetHeader("Epoch"), 10, 64)
	return Start{
		SubmissionID: vwid.SubmissionID(c.GetHeader("Submission-Id")),
		TaskID:       vwid.TaskID(c.GetHeader("Task-Id")),
		Epoch:        vwid.Epoch(epoch),
		Service:      vwid.Service(c.Param("Service")),
		At:           time.Now(),
		Outcome:      OutcomeRunning,
	}
}
