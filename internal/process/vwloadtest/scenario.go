// Package vwloadtest is an open-loop load tool. It sends what a scenario plans at the planned times,
// whether or not earlier answers have arrived, counts latency from the planned time, and checks the
// answers against the start records of stand-in backend servers and not against the dispatcher's own
// counters.
package vwloadtest

import (
	"bytes"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Scenario says what to send, where and when.
type Scenario struct {
	Name    string
	Seed    uint64
	Service vwid.Service
	// Entries are the base URLs of the entries' callers' interfaces.
	Entries []string
	// Operators are the base URLs of the operators' interfaces; each change uses the first that answers.
	Operators []string
	// Backends are the base URLs of all stand-ins.
	Backends []string
	// Metrics are the URLs of the processes' metrics pages, for the count of wasted messages.
	Metrics []string
	// AnswerTimeout is when a caller gives up. Default 60 s.
	AnswerTimeout vwunit.Duration
	// Settle is how long to wait after the last answer for starts that should not come. Default 4 s,
	// which is above the bound for late starts.
	Settle vwunit.Duration
	// ExtraDelay is added to the measured network delay of the ideal, for links that the test slows.
	ExtraDelay vwunit.Duration
	Teams      []Team
	Phases     []Phase
	Changes    []Change
	Targets    Targets
}

// Team sends a share of the load in proportion to its Weight. Share is the weight that the rules give
// it under saturation; teams without one are not part of that check.
type Team struct {
	Name   vwid.Team
	Weight float64
	Share  float64
}

// Phase is a span of time with one kind of load. Arrivals are a Poisson process.
type Phase struct {
	Name     string
	Duration vwunit.Duration
	// JobsPerSecond is the arrival rate. Load gives it as a share of what all slots can do instead.
	JobsPerSecond float64
	Load          float64
	// Tasks is the number of tasks of a job; RunMillis is the run time of a task.
	Tasks     Distribution
	RunMillis Distribution
	// DeclaredFactor, when given, is the declared run time relative to the true one.
	DeclaredFactor *Distribution
	// RequestShare is the share of arrivals that are single requests, IdempotentShare that of
	// idempotent ones among them.
	RequestShare    float64
	IdempotentShare float64
	// FailShare is the share of tasks that the stand-in fails.
	FailShare float64
	// ResubmitShare of the jobs are sent again at another entry when no answer came within ResubmitAfter.
	ResubmitShare float64
	ResubmitAfter vwunit.Duration
	// CancelShare of the jobs are cancelled CancelAfter their arrival.
	CancelShare float64
	CancelAfter vwunit.Duration
	Bursts      []Burst
}

// Burst is a number of arrivals at the same moment of a phase.
type Burst struct {
	At   vwunit.Duration
	Jobs int
}

// Action is what a Change does.
type Action string

// The actions of changes.
const (
	// ActionOut and ActionIn take a DataCentre out of service and back, through the operators' interface.
	ActionOut Action = "Out"
	ActionIn  Action = "In"
	// ActionLeave and ActionReturn make a stand-in leave and return.
	ActionLeave  Action = "Leave"
	ActionReturn Action = "Return"
	// ActionBehave sets the Mode of a stand-in.
	ActionBehave Action = "Behave"
)

// Change is something that happens during the run, At after its beginning.
type Change struct {
	At         vwunit.Duration
	Action     Action
	DataCentre vwid.DataCentre
	// Backend is the index of a stand-in in Backends.
	Backend     int
	Mode        vwstandin.Mode
	ExtraMillis int64
}

// Targets are the response-time bounds of the scenario's load; zero is not checked.
type Targets struct {
	ResponseRatioMean float64
	ResponseRatioP99  float64
}

const (
	defaultAnswerTimeout = vwunit.Duration(time.Minute)
	defaultSettle        = vwunit.Duration(4 * time.Second)
)

// LoadScenario reads and checks a scenario file.
func LoadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, trace.ConvertSystemError(err)
	}
	scenario, err := ParseScenario(text)
	return scenario, trace.Wrap(err, "reading %s", path)
}

// ParseScenario reads and checks a scenario. Unknown keys are errors.
func ParseScenario(text []byte) (Scenario, error) {
	var scenario Scenario
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return Scenario{}, trace.BadParameter("%v", err)
	}
	if scenario.AnswerTimeout == 0 {
		scenario.AnswerTimeout = defaultAnswerTimeout
	}
	if scenario.Settle == 0 {
		scenario.Settle = defaultSettle
	}
	return scenario, trace.Wrap(scenario.Check())
}

// Check finds what makes the scenario impossible to run.
func (s Scenario) Check() error {
	switch {
	case s.Service == "":
		return trace.BadParameter("Service is missing")
	case len(s.Entries) == 0:
		return trace.BadParameter("Entries is empty")
	case len(s.Backends) == 0:
		return trace.BadParameter("Backends is empty; without start records nothing can be checked")
	case len(s.Teams) == 0:
		return trace.BadParameter("Teams is empty")
	case len(s.Phases) == 0:
		return trace.BadParameter("Phases is empty")
	}
	for _, team := range s.Teams {
		if team.Name == "" || team.Weight <= 0 || team.Share < 0 {
			return trace.BadParameter("team %q needs a name and a Weight above 0", team.Name)
		}
	}
	for _, phase := range s.Phases {
		if err := phase.check(); err != nil {
			return trace.Wrap(err, "phase %q", phase.Name)
		}
	}
	for _, change := range s.Changes {
		if err := s.checkChange(change); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s Scenario) checkChange(change Change) error {
	switch change.Action {
	case ActionOut, ActionIn:
		if change.DataCentre == "" || len(s.Operators) == 0 {
			return trace.BadParameter("a change of a data centre needs DataCentre and Operators")
		}
	case ActionLeave, ActionReturn, ActionBehave:
		if change.Backend < 0 || change.Backend >= len(s.Backends) {
			return trace.BadParameter("change %s: there is no backend %d", change.Action, change.Backend)
		}
	default:
		return trace.BadParameter("unknown Action %q", change.Action)
	}
	return nil
}

func (p Phase) check() error {
	if p.Duration <= 0 {
		return trace.BadParameter("Duration is missing")
	}
	if p.Load < 0 || p.JobsPerSecond < 0 || (p.Load > 0 && p.JobsPerSecond > 0) {
		return trace.BadParameter("give either JobsPerSecond or Load")
	}
	shares := map[string]float64{
		"RequestShare": p.RequestShare, "IdempotentShare": p.IdempotentShare, "FailShare": p.FailShare,
		"ResubmitShare": p.ResubmitShare, "CancelShare": p.CancelShare,
	}
	for name, share := range shares {
		if share < 0 || share > 1 {
			return trace.BadParameter("%s must be from 0 to 1", name)
		}
	}
	for _, burst := range p.Bursts {
		if burst.At < 0 || burst.At > p.Duration || burst.Jobs < 1 {
			return trace.BadParameter("a burst needs Jobs above 0 and an At within the phase")
		}
	}
	return trace.NewAggregate(p.Tasks.check("Tasks"), p.RunMillis.check("RunMillis"))
}

func (s Scenario) duration() time.Duration {
	var sum vwunit.Duration
	for _, phase := range s.Phases {
		sum += phase.Duration
	}
	return time.Duration(sum)
}
