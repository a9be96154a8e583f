package vwmetrics

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwentry"
)

// Scrapers need each family in one piece with its type, and operators need its help.
func TestPage(t *testing.T) {
	m := Make()
	var entry vwentry.Counters
	var agent vwagent.Counters
	entry.Refused.Store(3)
	agent.Late.Store(4)
	WatchEntry(m, &entry)
	WatchAgent(m, &agent)
	WatchBool(m, LeaseFresh, func() bool { return true })
	m.Counter(MessagesWasted, reason("a \"quoted\" reason")).Inc()
	m.Histogram(RunTime).Update(0.25)
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, contentType, response.Header().Get("Content-Type"))
	own, runtime, _ := strings.Cut(response.Body.String(), "go_")
	require.Contains(t, runtime, "process_")
	goldie.New(t).Assert(t, "page", []byte(own))
}

// Two processes in one program, as in the demo, must not share values.
func TestSetsAreSeparate(t *testing.T) {
	one, other := Make(), Make()
	one.Counter(TasksSent).Inc()
	require.Zero(t, other.Counter(TasksSent).Get())
	require.Same(t, one.Counter(TasksSent), one.Counter(TasksSent))
}

// A metric that is used as another kind would make a page that scrapers reject.
func TestKindMustFit(t *testing.T) {
	require.Panics(t, func() { Make().Counter(LeaseFresh) })
	require.Panics(t, func() { Make().Histogram(TasksSent) })
	require.Panics(t, func() { Watch(Make(), RunTime, func() int { return 0 }) })
}

// An operator must find every metric in the documentation, and nothing there that does not exist.
func TestDocumentationIsComplete(t *testing.T) {
	text, err := os.ReadFile("../../../docs/operator/metrics.md")
	require.NoError(t, err)
	documented := regexp.MustCompile("(?m)^\\| `(vanillawind_[a-z_]+)` \\|").FindAllStringSubmatch(string(text), -1)
	var names, known []string
	for _, match := range documented {
		names = append(names, match[1])
	}
	for _, description := range Descriptions() {
		known = append(known, description.Name)
		require.Regexp(t, `^vanillawind_[a-z_]+$`, description.Name)
		require.Equal(t, description.Kind == KindCounter, strings.HasSuffix(description.Name, "_total"), description.Name)
		require.Equal(t, description.Unit == UnitSeconds, strings.HasSuffix(description.Name, "_seconds"), description.Name)
		require.Equal(t, description.Unit == UnitBytes, strings.HasSuffix(description.Name, "_bytes"), description.Name)
	}
	require.ElementsMatch(t, known, names)
}
