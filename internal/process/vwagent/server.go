package vwagent

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// maxAnnouncement bounds the body of an announcement in bytes.
	maxAnnouncement = 16 << 10
	// serverTimeout bounds one request, and the end of the server at a stop.
	serverTimeout = 2 * time.Second
)

// BackendServer takes what a backend server says. Agent implements it.
type BackendServer interface {
	Announce(ctx context.Context, announcement Announcement) error
	Leave(ctx context.Context) error
}

// Handler returns the HTTP interface for the backend server.
func Handler(target BackendServer) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	// A redirect of a POST would lose its body with many clients.
	engine.RedirectTrailingSlash = false
	engine.POST("/Announce", func(c *gin.Context) { announce(c, target) })
	engine.POST("/Leave", func(c *gin.Context) { answer(c, target.Leave(c.Request.Context())) })
	engine.NoRoute(func(c *gin.Context) {
		writeProblem(c, http.StatusNotFound, vwapi.CodeInvalid, "there is no "+c.Request.URL.Path)
	})
	engine.NoMethod(func(c *gin.Context) {
		writeProblem(c, http.StatusMethodNotAllowed, vwapi.CodeInvalid, c.Request.URL.Path+" takes POST")
	})
	return engine
}

func announce(c *gin.Context, target BackendServer) {
	var announcement Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeProblem(c, http.StatusRequestEntityTooLarge, vwapi.CodeTooLarge, err.Error())
			return
		}
		writeProblem(c, http.StatusBadRequest, vwapi.CodeMalformed, err.Error())
		return
	}
	answer(c, target.Announce(c.Request.Context(), announcement))
}

func answer(c *gin.Context, err error) {
	switch {
	case err == nil:
		c.Status(http.StatusNoContent)
	case trace.IsBadParameter(err):
		writeProblem(c, http.StatusUnprocessableEntity, vwapi.CodeInvalid, err.Error())
	default:
		writeProblem(c, http.StatusServiceUnavailable, vwapi.CodeStopping, err.Error())
	}
}

func writeProblem(c *gin.Context, status int, code, detail string) {
	problem := &vwapi.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: detail, Code: code, Verdict: vwverdict.NotRun,
	}
	c.Header("Content-Type", vwapi.ProblemType)
	c.AbortWithStatusJSON(status, problem)
}

// Serve serves the HTTP interface for the backend server on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, target BackendServer) error {
	server := &http.Server{
		Handler:           Handler(target),
		ReadHeaderTimeout: serverTimeout,
		ReadTimeout:       serverTimeout,
		WriteTimeout:      serverTimeout,
	}
	group := vwgroup.Make(ctx)
	group.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), serverTimeout)
		defer cancel()
		return trace.Wrap(server.Shutdown(closing))
	})
	return group.Wait()
}
