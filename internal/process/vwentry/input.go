package vwentry

import (
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwjson"
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
func (e *Entry) openBody(c *gin.Context) (io.Reader, error) {
	return openBody(c, int64(e.settings.MaxBody))
}

// openBody returns the body with a bound. It refuses content that is declared to be something else than
// JSON; a body without a declaration is taken for JSON.
func openBody(c *gin.Context, bound int64) (io.Reader, error) {
	if declared := c.GetHeader("Content-Type"); declared != "" {
		media, _, err := mime.ParseMediaType(declared)
		if err != nil || media != gin.MIMEJSON {
			return nil, refuse(vwapi.CodeUnknownContent, vwverdict.NotRun, "the body must be declared as "+gin.MIMEJSON+", not as "+declared)
		}
	}
	return http.MaxBytesReader(c.Writer, c.Request.Body, bound), nil
}

// readBody decodes the whole body strictly into target.
func readBody(c *gin.Context, bound int64, target any) error {
	body, err := openBody(c, bound)
	if err != nil {
		return err
	}
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
