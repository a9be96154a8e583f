package vwprocess

import (
	"net/http"

	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
)

// entryOperators is the operators' interface of an entry process.
type entryOperators struct{ mux *http.ServeMux }

func makeEntryOperators(entry *vwentry.Entry, metrics *vwmetrics.Metrics) *entryOperators {
	common := makeOperators(entry.Ready, metrics)
	o := &entryOperators{mux: http.NewServeMux()}
	o.mux.Handle("/", entry.OperatorsHandler())
	for _, path := range []string{"/healthz", "/readyz", "/debug/pprof/", "/metrics"} {
		o.mux.Handle(path, common)
	}
	return o
}

// ServeHTTP implements http.Handler.
func (o *entryOperators) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	o.mux.ServeHTTP(writer, request)
}
