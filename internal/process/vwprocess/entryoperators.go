package vwprocess

import (
	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
)

// EntryOperators returns the whole operators' interface of an entry process.
func EntryOperators(entry *vwentry.Entry, metrics *vwmetrics.Metrics) *gin.Engine {
	engine := entry.OperatorsHandler()
	addCommonRoutes(engine, entry.Ready, metrics)
	return engine
}
