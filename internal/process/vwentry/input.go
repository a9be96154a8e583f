package vwentry

import (
	"fmt"
	"mime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwjson"
	"vanillawind.example/vanillawind/pkg/vwunit"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// makeRouter returns a router that answers unknown paths and methods with problem documents, and never
// redirects: a client would send the body again.
func makeRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.RedirectTrailingSlash = false
	router.HandleMethodNotAllowed = true
	router.NoRoute(func(c *gin.Context) {
		writeProblem(c, refuse(vwapi.CodeUnknownRoute, vwverdict.NotRun, "there is no "+c.Request.URL.Path), "")
	})
	router.NoMethod(func(c *gin.Context) {
		writeProblem(c, refuse(vwapi.CodeUnknownMethod, vwverdict.NotRun, c.Request.URL.Path+" takes "+c.Writer.Header().Get("Allow")), "")
	})
	return router
}

// openBody returns the body of a caller's call.
func (e *Entry) openBody(c *gin.Context) (*vwintake.Stream, error) {
	return e.openBoundedBody(c, e.settings.MaxBody)
}

// openBoundedBody returns the body with a bound, within the budget of the process. It refuses content that is declared to be something
// else than JSON; a body without a declaration is taken for JSON.
func (e *Entry) openBoundedBody(c *gin.Context, bound vwunit.Bytes) (*vwintake.Stream, error) {
	if declared := c.GetHeader("Content-Type"); declared != "" {
		media, _, err := mime.ParseMediaType(declared)
		if err != nil || media != gin.MIMEJSON {
			return nil, refuse(vwapi.CodeUnknownContent, vwverdict.NotRun, "the body must be declared as "+gin.MIMEJSON+", not as "+declared)
		}
	}
	return e.settings.Intake.OpenBody(c.Writer, c.Request, bound), nil
}

// readBody decodes the whole body strictly into target.
func (e *Entry) readBody(c *gin.Context, bound vwunit.Bytes, target any) error {
	body, err := e.openBoundedBody(c, bound)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := vwjson.Decode(body, target); err != nil {
		return malformed(err)
	}
	return nil
}

// checkQuery refuses parameters that are unknown for the path: a misspelt one would silently change the
// meaning of the call.
func checkQuery(c *gin.Context, known ...string) error {
	for name, values := range c.Request.URL.Query() {
		switch {
		case !slices.Contains(known, name) && len(known) == 0:
			return invalid("unknown parameter " + quote(name) + "; there is none here")
		case !slices.Contains(known, name):
			return invalid("unknown parameter " + quote(name) + "; known here: " + strings.Join(known, ", "))
		case len(values) > 1:
			return invalid("parameter " + quote(name) + " stands twice")
		}
	}
	return nil
}

func parseWaitFlag(c *gin.Context) (bool, error) {
	if err := checkQuery(c, "Wait"); err != nil {
		return false, err
	}
	switch c.Query("Wait") {
	case "", "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, invalid("Wait must be true or false")
}

func parseID(c *gin.Context) (vwid.SubmissionID, error) {
	id := vwid.SubmissionID(c.Param("ID"))
	if _, err := vwid.SubmissionTime(id); err != nil {
		return "", invalid("the job id must be a UUID of version 7: " + err.Error())
	}
	return id, nil
}

func parseWait(c *gin.Context) (time.Duration, error) {
	if err := checkQuery(c, "WaitSeconds"); err != nil {
		return 0, err
	}
	text := c.Query("WaitSeconds")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	// The comparison is false for NaN.
	if err != nil || !(seconds >= 0 && seconds <= maxWait.Seconds()) {
		return 0, invalid(fmt.Sprintf("WaitSeconds must be a number from 0 to %d", int(maxWait.Seconds())))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
