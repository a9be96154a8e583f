package vwplace

import (
	"math"
	"math/rand/v2"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// MinRetryAfter is the shortest advice, also for a refusal after which another entry is right at once. Agents report
	// freed capacity that often, so that a caller who returns sooner is refused by the same reports.
	MinRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest advice. The backlog and the release of an entry say little of a later time, and a caller
	// who still waits when the load has fallen leaves servers idle.
	maxRetryAfter = 8 * time.Second
	// usualRetryAfter is the mean advice of an entry that knows no release, such as one without running tasks.
	usualRetryAfter = time.Second
	// returnSpread is the largest part of an advice by which chance moves it to either side.
	returnSpread = 0.5
	// returnShare is the part of the released capacity that is planned for callers who return. The rest is for new ones.
	returnShare = 0.5
	// refusalWindow is the time constant of the mean rate of refused work.
	refusalWindow = time.Second
	// teamMemory is the time constant with which refusals of a team are forgotten.
	teamMemory = 30 * time.Second
	// maxTeamFavour bounds by how much a team's share of refused work over that of all teams counts.
	maxTeamFavour = 2.0
)

// Retries advises callers whose jobs were refused when to return. It answers a burst in which many callers are refused in
// one moment: with a constant they all return in one moment and are refused again.
//
// Callers return in the order of a line: each refusal books released capacity for the work of its job, behind what waits
// already and behind the refused jobs of the same and of higher levels, and the advice is the time until its turn with a
// random share. While refusals go on, less of the release is planned for returns, so that the line grows with the rate of
// refusals and shrinks when they cease. A team of whose work more was refused than of that of all teams comes earlier.
//
// Lines are known to this entry only, and nothing is kept for a caller: an entry that has restarted begins new lines, and
// callers who return by an earlier advice are treated as new.
type Retries struct {
	random *rand.Rand
	lines  map[string]*returnLine
	teams  map[vwid.Team]*teamRecord
	total  teamRecord
}

// Refusal describes a refused job. Work has any unit that RetryLoad has, too.
type Refusal struct {
	// Line names the line in which the caller waits. Empty means that of the entry's capacity, for which all callers wait who
	// are not held back by something of their own.
	Line  string
	Team  vwid.Team
	Level int
	Work  float64
}

// returnLine is the line of the callers who wait for the same capacity.
type returnLine struct {
	// turns holds when the last refused job of a level has its turn.
	turns map[int]time.Time
	// refused is the refused work.
	refused decayingMean
}

// RetryLoad is the state of an entry that refuses a job.
type RetryLoad struct {
	// Waiting is the work that was admitted and waits, Released the work that can start in a second. Released is zero if it
	// is not known.
	Waiting, Released float64
}

// decayingMean is the exponentially decaying sum of amounts.
type decayingMean struct {
	sum float64
	at  time.Time
}

func (m *decayingMean) add(now time.Time, amount float64, window time.Duration) {
	m.sum = m.value(now, window) + amount
	m.at = now
}

func (m *decayingMean) value(now time.Time, window time.Duration) float64 {
	return m.sum * math.Exp(-max(now.Sub(m.at), 0).Seconds()/window.Seconds())
}

// teamRecord holds the work that a team has submitted and how much of it was refused.
type teamRecord struct{ submitted, refused decayingMean }

// refusedShare returns the part of the submitted work that was refused.
func (r *teamRecord) refusedShare(now time.Time) float64 {
	submitted := r.submitted.value(now, teamMemory)
	if submitted <= 0 {
		return 0
	}
	return min(r.refused.value(now, teamMemory)/submitted, 1)
}

// MakeRetries returns the advice of an entry that has refused nothing.
func MakeRetries(random rand.Source) *Retries {
	return &Retries{random: rand.New(random), lines: map[string]*returnLine{}, teams: map[vwid.Team]*teamRecord{}}
}

// CountSubmitted counts submitted work of a team, which may be refused later.
func (r *Retries) CountSubmitted(now time.Time, team vwid.Team, work float64) {
	r.team(now, team).submitted.add(now, work, teamMemory)
	r.total.submitted.add(now, work, teamMemory)
}

// Advise returns when the caller of a refused job should return, and counts the refusal.
func (r *Retries) Advise(now time.Time, refusal Refusal, load RetryLoad) time.Duration {
	team := r.team(now, refusal.Team)
	team.refused.add(now, refusal.Work, teamMemory)
	r.total.refused.add(now, refusal.Work, teamMemory)
	turn := r.line(now, refusal.Line).takeTurn(now, refusal, load)
	share := math.Pow(r.random.Float64(), r.favour(now, team))
	return spread(turn, share)
}

// UsualRetryAfter returns an advice where nothing is known of the load, moved by a random share from 0 to 1.
func UsualRetryAfter(share float64) time.Duration {
	return spread(usualRetryAfter, share)
}

// spread moves a turn by a random share from 0 to 1.
func spread(turn time.Duration, share float64) time.Duration {
	return time.Duration(float64(turn) * (1 - returnSpread + 2*returnSpread*share))
}

// takeTurn books released capacity for the work of a refused job and returns the time until then. The turns of lower levels are
// put off by that work. Chance moves an advice by up to returnSpread, and turns are bounded so that advices need no bound of
// their own, at which callers would meet.
func (l *returnLine) takeTurn(now time.Time, refusal Refusal, load RetryLoad) time.Duration {
	l.refused.add(now, refusal.Work, refusalWindow)
	if load.Released <= 0 {
		return usualRetryAfter
	}
	refusedRate := l.refused.value(now, refusalWindow) / refusalWindow.Seconds()
	planned := returnShare * load.Released * load.Released / (load.Released + refusedRate)
	booked := refusal.Work / planned
	turn := now.Add(boundTurn(load.Waiting / load.Released))
	for level, last := range l.turns {
		switch {
		case !last.After(now):
			delete(l.turns, level)
		case level < refusal.Level:
			l.turns[level] = now.Add(boundTurn(last.Sub(now).Seconds() + booked))
		case last.After(turn):
			turn = last
		}
	}
	until := boundTurn(turn.Sub(now).Seconds() + booked)
	l.turns[refusal.Level] = now.Add(until)
	return until
}

// boundTurn returns a time in seconds as a duration between the bounds of a turn.
func boundTurn(seconds float64) time.Duration {
	const shortest, longest = float64(MinRetryAfter) / (1 - returnSpread), float64(maxRetryAfter) / (1 + returnSpread)
	return time.Duration(min(max(seconds*float64(time.Second), shortest), longest))
}

// favour returns how much more of a team's work was refused than of all work, between 1/maxTeamFavour and maxTeamFavour.
func (r *Retries) favour(now time.Time, team *teamRecord) float64 {
	all := r.total.refusedShare(now)
	if all <= 0 {
		return 1
	}
	return min(max(team.refusedShare(now)/all, 1/maxTeamFavour), maxTeamFavour)
}

// line returns a line. Lines in which nobody was refused for long are dropped when another begins.
func (r *Retries) line(now time.Time, name string) *returnLine {
	found := r.lines[name]
	if found == nil {
		for other, old := range r.lines {
			if now.Sub(old.refused.at) > 2*maxRetryAfter {
				delete(r.lines, other)
			}
		}
		found = &returnLine{turns: map[int]time.Time{}}
		r.lines[name] = found
	}
	return found
}

// team returns the record of a team. Records of teams that have submitted nothing for long are dropped when another begins.
func (r *Retries) team(now time.Time, name vwid.Team) *teamRecord {
	record := r.teams[name]
	if record == nil {
		for other, old := range r.teams {
			if now.Sub(old.submitted.at) > 4*teamMemory && now.Sub(old.refused.at) > 4*teamMemory {
				delete(r.teams, other)
			}
		}
		record = &teamRecord{}
		r.teams[name] = record
	}
	return record
}

// RetrySeconds returns an advice in whole seconds, as the Retry-After header holds it: at least one, and between the seconds
// before and after by a random share from 0 to 1, so that the mean stays. Rounding all up would make callers meet.
func RetrySeconds(after time.Duration, share float64) int {
	return max(int(math.Floor(after.Seconds()+share)), 1)
}

// loadValidity is how long the load behind an advice is taken as current. A full queue may refuse thousands of jobs a second,
// and the load is a sum over all waiting jobs and running tasks.
const loadValidity = 10 * time.Millisecond

// retryLoad is the load behind an advice, and when it was read.
type retryLoad struct {
	RetryLoad
	at time.Time
}

// adviseReturn returns when the caller of a job that this queue refuses should return.
func (q *Queue) adviseReturn(now time.Time, spec *Job) time.Duration {
	if now.Sub(q.retryLoad.at) >= loadValidity {
		q.retryLoad = retryLoad{RetryLoad: RetryLoad{Waiting: q.waitingWork(), Released: q.releaseRate()}, at: now}
	}
	return q.retries.Advise(now, Refusal{Team: spec.Team, Level: spec.Level, Work: spec.work()}, q.retryLoad.RetryLoad)
}

// waitingWork returns the work of the waiting tasks of admitted jobs.
func (q *Queue) waitingWork() float64 {
	sum := 0.0
	for _, j := range q.waiting {
		if j.admitted || j.isDispatched() {
			sum += float64(j.waitingTasks) * float64(j.Needs.CPU)
		}
	}
	return sum
}

// work returns the CPU that the tasks of a job take when they start, in thousandths of a core.
func (j *Job) work() float64 {
	return float64(j.Count) * float64(j.Needs.CPU)
}

// releaseRate returns the CPU that the running tasks of this entry are expected to release per second, in thousandths
// of a core. Freed capacity goes to the most urgent tasks of all entries; under overload each entry gets about as much
// as its own tasks release.
func (q *Queue) releaseRate() float64 {
	sum := 0.0
	for _, w := range q.workerOrder {
		for j, count := range w.running {
			sum += float64(count) * float64(j.Needs.CPU) / j.expectedRun.Seconds()
		}
	}
	return sum
}
