package vwprocess

import (
	"net/http"
	"sync/atomic"
)

// replaceableHandler delegates to an HTTP handler that can be replaced at run time. Requests in flight finish on the
// handler that they started with. It must be set before the first request.
type replaceableHandler struct{ current atomic.Pointer[http.Handler] }

func (r *replaceableHandler) set(handler http.Handler) {
	r.current.Store(&handler)
}

// ServeHTTP implements http.Handler.
func (r *replaceableHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	(*r.current.Load()).ServeHTTP(writer, request)
}
