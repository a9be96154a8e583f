package vwprocess

import (
	"context"
	"net/http"
	"net/http/pprof"

	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/process/vwmetrics"
)

// makeOperatorsHandler returns the operators' interface that all roles have. It must not be reachable for
// callers, since profiles expose the memory of the process.
func makeOperatorsHandler(ready func(context.Context) error, metrics *vwmetrics.Metrics) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	addCommonRoutes(engine, ready, metrics)
	return engine
}

func addCommonRoutes(engine *gin.Engine, ready func(context.Context) error, metrics *vwmetrics.Metrics) {
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", func(c *gin.Context) {
		if err := ready(c.Request.Context()); err != nil {
			c.String(http.StatusServiceUnavailable, "not ready: %v\n", err)
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	engine.GET("/metrics", gin.WrapH(metrics.Handler()))
	engine.GET("/debug/pprof/*Name", servePprof)
}

func servePprof(c *gin.Context) {
	switch c.Param("Name") {
	case "/profile":
		pprof.Profile(c.Writer, c.Request)
	case "/trace":
		pprof.Trace(c.Writer, c.Request)
	case "/cmdline":
		pprof.Cmdline(c.Writer, c.Request)
	case "/symbol":
		pprof.Symbol(c.Writer, c.Request)
	default:
		pprof.Index(c.Writer, c.Request)
	}
}
