package vwprocess

import (
	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
)

// MakeEntryOperatorsHandler returns the operators' interface of an entry process: the routes of the entry and those
// that all roles have.
func MakeEntryOperatorsHandler(entry *vwentry.Entry, metrics *vwmetrics.Metrics) *gin.Engine {
	engine := entry.OperatorsHandler()
	addCommonRoutes(engine, entry.Ready, metrics)
	return engine
}
