package vwloadtest

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Arrival is one planned job or request.
type Arrival struct {
	// At is the planned time after the beginning of the run.
	At    time.Duration
	Index int
	Phase int
	Team  vwid.Team
	// Request tells a single request from a job; it has one task.
	Request    bool
	Idempotent bool
	Tasks      []PlannedTask
	// ResubmitAfter and CancelAfter are zero when the arrival is not resubmitted or cancelled.
	ResubmitAfter time.Duration
	CancelAfter   time.Duration
}

// PlannedTask is one task of an Arrival.
type PlannedTask struct {
	Tag            string
	RunMillis      float64
	DeclaredMillis int64
	Fail           bool
}

// MakePlan draws the arrivals of a scenario for backend servers with so many slots. The same seed
// gives the same plan. Tags begin with run, so that the records of several runs can be told apart.
func MakePlan(scenario Scenario, slots int, run string) []Arrival {
	planner := planner{random: rand.New(rand.NewPCG(scenario.Seed, 0)), teams: scenario.Teams, run: run}
	var begin time.Duration
	for index, phase := range scenario.Phases {
		planner.plan(index, phase, begin, slots)
		begin += time.Duration(phase.Duration)
	}
	slices.SortStableFunc(planner.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for index := range planner.arrivals {
		planner.arrivals[index].number(index, run)
	}
	return planner.arrivals
}

type planner struct {
	random   *rand.Rand
	teams    []Team
	run      string
	arrivals []Arrival
}

func (p *planner) plan(index int, phase Phase, begin time.Duration, slots int) {
	rate := phase.rate(slots)
	for at := p.gap(rate); at < time.Duration(phase.Duration); at += p.gap(rate) {
		p.add(index, phase, begin+at)
	}
	for _, burst := range phase.Bursts {
		for range burst.Jobs {
			p.add(index, phase, begin+time.Duration(burst.At))
		}
	}
}

// gap draws the time to the next arrival of a Poisson process.
func (p *planner) gap(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

func (p *planner) add(index int, phase Phase, at time.Duration) {
	arrival := Arrival{At: at, Phase: index, Team: p.team()}
	arrival.Request = p.chance(phase.RequestShare)
	arrival.Idempotent = arrival.Request && p.chance(phase.IdempotentShare)
	tasks := 1
	if !arrival.Request {
		tasks = phase.sampleTasks(p.random)
		if p.chance(phase.CancelShare) {
			arrival.CancelAfter = time.Duration(phase.CancelAfter)
		} else if p.chance(phase.ResubmitShare) {
			arrival.ResubmitAfter = time.Duration(phase.ResubmitAfter)
		}
	}
	for range tasks {
		arrival.Tasks = append(arrival.Tasks, p.task(phase))
	}
	p.arrivals = append(p.arrivals, arrival)
}

func (p *planner) task(phase Phase) PlannedTask {
	task := PlannedTask{RunMillis: phase.RunMillis.sample(p.random), Fail: p.chance(phase.FailShare)}
	if phase.DeclaredFactor != nil {
		task.DeclaredMillis = max(1, int64(task.RunMillis*phase.DeclaredFactor.sample(p.random)))
	}
	return task
}

func (p *planner) chance(share float64) bool {
	return share > 0 && p.random.Float64() < share
}

func (p *planner) team() vwid.Team {
	sum := 0.0
	for _, team := range p.teams {
		sum += team.Weight
	}
	left := p.random.Float64() * sum
	for _, team := range p.teams {
		if left -= team.Weight; left < 0 {
			return team.Name
		}
	}
	return p.teams[len(p.teams)-1].Name
}

func (p Phase) sampleTasks(random *rand.Rand) int {
	return max(1, int(math.Round(p.Tasks.sample(random))))
}

// rate returns the arrivals per second.
func (p Phase) rate(slots int) float64 {
	if p.Load == 0 {
		return p.JobsPerSecond
	}
	tasks := p.RequestShare + (1-p.RequestShare)*mean(func(random *rand.Rand) float64 { return float64(p.sampleTasks(random)) })
	seconds := mean(p.RunMillis.sample) / 1000
	return p.Load * float64(slots) / (tasks * seconds)
}

func (a *Arrival) number(index int, run string) {
	a.Index = index
	for task := range a.Tasks {
		a.Tasks[task].Tag = fmt.Sprintf("%s/%d/%d", run, index, task)
	}
}
