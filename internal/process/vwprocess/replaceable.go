package vwprocess

import (
	"net/http"
	"sync/atomic"
)

// replaceable serves HTTP by a handler that can change. Requests in progress stay with the one that they
// began with.
type replaceable struct{ current atomic.Pointer[http.Handler] }

func (r *replaceable) set(handler http.Handler) {
	r.current.Store(&handler)
}

// ServeHTTP implements http.Handler.
func (r *replaceable) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	(*r.current.Load()).ServeHTTP(writer, request)
}
