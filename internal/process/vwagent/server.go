package vwagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwjson"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// maxAnnouncement bounds the body of an announcement in bytes.
	maxAnnouncement = 16 << 10
	// serverTimeout bounds one request and the shutdown of the server.
	serverTimeout = 2 * time.Second
)

// AnnouncementReceiver handles the requests of a backend server. Agent implements it.
type AnnouncementReceiver interface {
	Announce(ctx context.Context, announcement Announcement) error
	Leave(ctx context.Context) error
	RejectAnnouncement(announcer string, reason error)
}

// Handler returns the HTTP interface for the backend server.
func Handler(target AnnouncementReceiver) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	// Many clients drop the body of a POST when they follow a redirect.
	engine.RedirectTrailingSlash = false
	engine.POST("/Announce", func(c *gin.Context) { announce(c, target) })
	engine.POST("/Leave", func(c *gin.Context) { answer(c, target.Leave(c.Request.Context())) })
	engine.NoRoute(func(c *gin.Context) { writeProblem(c, vwapi.CodeUnknownRoute, "there is no "+c.Request.URL.Path) })
	engine.NoMethod(func(c *gin.Context) { writeProblem(c, vwapi.CodeUnknownMethod, c.Request.URL.Path+" takes POST") })
	return engine
}

func announce(c *gin.Context, target AnnouncementReceiver) {
	var announcement Announcement
	var tooLarge *http.MaxBytesError
	err := vwjson.Decode(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncement), &announcement)
	if err != nil {
		target.RejectAnnouncement(c.Request.RemoteAddr, err)
	} else {
		// The deadline of the body must not end the request, whose connection the server goes on to read.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
	}
	switch {
	case errors.As(err, &tooLarge):
		writeProblem(c, vwapi.CodeTooLarge, fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit))
	case err != nil:
		writeProblem(c, vwapi.CodeMalformed, err.Error())
	default:
		err = target.Announce(c.Request.Context(), announcement)
		if trace.IsBadParameter(err) {
			target.RejectAnnouncement(c.Request.RemoteAddr, err)
		}
		answer(c, err)
	}
}

func answer(c *gin.Context, err error) {
	switch {
	case err == nil:
		c.Status(http.StatusNoContent)
	case trace.IsBadParameter(err):
		writeProblem(c, vwapi.CodeInvalid, err.Error())
	default:
		writeProblem(c, vwapi.CodeStopping, vwverdict.Reason(err))
	}
}

func writeProblem(c *gin.Context, code, detail string) {
	problem := &vwapi.Problem{
		Type: "about:blank", Title: vwapi.TitleOf(code), Status: vwapi.StatusOf(code),
		Detail: detail, Code: code, Verdict: vwverdict.NotRun,
	}
	c.Header("Content-Type", vwapi.ProblemType)
	c.AbortWithStatusJSON(problem.Status, problem)
}

// Serve serves the HTTP interface for the backend server on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, target AnnouncementReceiver) error {
	server := &http.Server{
		Handler:           Handler(target),
		ReadHeaderTimeout: serverTimeout,
		ReadTimeout:       serverTimeout,
		WriteTimeout:      serverTimeout,
		MaxHeaderBytes:    maxAnnouncement,
		ConnState:         vwintake.SetState,
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
