package vwplace

import (
	"math"
	"slices"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// fixedWorth is the part of a job's worth that does not depend on its work, relative to the mean job of its team, and
	// maxRelativeWorth the most that a job is worth against that one. Both are from the users' rules.
	fixedWorth       = 0.3
	maxRelativeWorth = 4
	// levelFactor is by how much each level raises the loss of a refusal. With a strict order of levels, one level is
	// refused whole before the next one loses its cheapest job.
	levelFactor = 1.25
	// lateFactor raises the loss of a refusal that comes after promiseTime: the caller has waited for nothing.
	lateFactor = 3
	// repeatedFactor lowers the loss for a repeated call, whose answer is late in any case.
	repeatedFactor = 0.2
	// floorFactor raises the loss of a refusal for a job whose team or size class is served less than its floor.
	floorFactor = 8
	// classFloor is the part of the served share of its team that each size class keeps, and teamFloor that of the served
	// share of all jobs that each team keeps. The users' bound for both is one half.
	classFloor, teamFloor = 0.7, 0.7
	// sizeWindow is the number of the latest jobs of a team from which the bounds of its size classes are taken, minSizes
	// the least number of them, and sizeUpdates the number of jobs after which the bounds are taken again.
	sizeWindow, minSizes, sizeUpdates = 40, 20, 8
	// servedWindow is the number of jobs that the moving mean of a served part covers.
	servedWindow = 20
	// refusedFactor is how many times as often as the levels above it a level may be refused before it leaves them more of
	// the capacity.
	refusedFactor = 1.5
	// refusedSlack is a refused part that is too small to act on, and priorJobs the number of jobs of a level from which on
	// its own refusals count half.
	refusedSlack = 0.02
	priorJobs    = 10
	// usualReserved is the part of the expected work of higher levels that a level leaves capacity for, minReserved and
	// maxReserved bound it, and reservedPower is how sharply it follows the refusals.
	usualReserved, minReserved, maxReserved = 0.1, 0.002, 1.5
	reservedPower                           = 6
	// maxWaitMargin and minWaitMargin bound the part of its longest useful wait that a job may be forecast to wait, and
	// vainWeight is by how much the part of the jobs that waited in vain lowers it.
	maxWaitMargin, minWaitMargin, vainWeight = 0.95, 0.6, 3
)

// sizeClass divides the jobs of a team by their work.
type sizeClass int

const (
	usualSize sizeClass = iota
	// largeSize is the fifth below largestSize, the largest tenth.
	largeSize
	largestSize
	sizeClasses
)

// refusalCosts knows what it costs the callers to turn a job away. It answers the load of an hour in which more work arrives
// than the workers can do: refusing the cheapest work first would refuse all large jobs, and refusing by level alone all jobs of
// the lowest level, so each team and each size class of a team keeps a part of its service.
type refusalCosts struct {
	teams map[vwid.Team]*teamAccount
	// all covers all decided jobs.
	all    movingPart
	levels map[int]*levelAccount
	// promises covers the jobs that were let wait; those refused waited in vain.
	promises movingPart
}

// levelAccount holds the refused part of the jobs of a level and of all higher levels.
type levelAccount struct{ own, above movingPart }

// teamAccount holds the latest sizes of the jobs of a team and which part of them was served.
type teamAccount struct {
	sizes  []float32
	next   int
	mean   float64
	bounds [sizeClasses]float64
	all    movingPart
	// classes covers each size class.
	classes [sizeClasses]movingPart
}

// movingPart is the moving mean of the part of jobs that was refused; it begins at 0.
type movingPart struct {
	refused float64
	// count is the number of jobs that it covers.
	count int
}

func (p *movingPart) add(served bool) {
	p.count = min(p.count+1, servedWindow)
	refused := 1.0
	if served {
		refused = 0
	}
	p.refused += (refused - p.refused) / servedWindow
}

// served returns the served part.
func (p *movingPart) served() float64 { return 1 - p.refused }

func makeRefusalCosts() refusalCosts {
	return refusalCosts{teams: map[vwid.Team]*teamAccount{}, levels: map[int]*levelAccount{}}
}

// work returns the work that a job still needs, in core seconds of a worker of normal speed.
func (j *job) work() float64 {
	return float64(len(j.tasks)-j.doneTasks) * float64(max(j.Needs.CPU, 1)) / 1000 * j.expectedRun.Seconds()
}

// record adds the size of a new job to the account of its team.
func (c *refusalCosts) record(j *job) {
	account := c.teams[j.Team]
	if account == nil {
		account = &teamAccount{}
		c.teams[j.Team] = account
	}
	if len(account.sizes) < sizeWindow {
		account.sizes = append(account.sizes, float32(j.work()))
	} else {
		account.sizes[account.next] = float32(j.work())
	}
	account.next = (account.next + 1) % sizeWindow
	if account.next%sizeUpdates == 0 || len(account.sizes) < sizeWindow {
		account.updateBounds()
	}
	j.size = account.classOf(j.work())
}

func (a *teamAccount) updateBounds() {
	sorted := slices.Sorted(slices.Values(a.sizes))
	a.mean = 0
	for _, size := range sorted {
		a.mean += float64(size) / float64(len(sorted))
	}
	a.bounds[largeSize] = float64(sorted[len(sorted)*7/10])
	a.bounds[largestSize] = float64(sorted[len(sorted)*9/10])
}

func (a *teamAccount) classOf(work float64) sizeClass {
	switch {
	case len(a.sizes) < minSizes:
		return usualSize
	case work >= a.bounds[largestSize]:
		return largestSize
	case work >= a.bounds[largeSize]:
		return largeSize
	}
	return usualSize
}

// decided records that a job was served or turned away.
func (c *refusalCosts) decided(j *job, served bool) {
	account := c.teams[j.Team]
	if account == nil || j.accounted {
		return
	}
	j.accounted = true
	c.all.add(served)
	if j.admitted {
		c.promises.add(served)
	}
	if c.levels[j.Level] == nil {
		c.levels[j.Level] = &levelAccount{}
	}
	for level, parts := range c.levels {
		switch {
		case level == j.Level:
			parts.own.add(served)
		case level < j.Level:
			parts.above.add(served)
		}
	}
	account.all.add(served)
	account.classes[j.size].add(served)
}

// lossPerWork returns the callers' loss if a job is refused now, for each core second that this leaves to others. It is 1 for
// the mean job of a team at level 0.
func (c *refusalCosts) lossPerWork(now time.Time, j *job) float64 {
	account := c.teams[j.Team]
	relative := 1.0
	if account != nil && account.mean > 0 {
		relative = j.work() / account.mean
	}
	loss := min(fixedWorth+(1-fixedWorth)*relative, maxRelativeWorth) / relative * math.Pow(levelFactor, float64(j.Level))
	if account != nil && c.belowFloor(account, j) {
		loss *= floorFactor
	}
	if j.isPromised(now) {
		loss *= lateFactor
	}
	if j.repeated {
		loss *= repeatedFactor
	}
	return loss
}

// belowFloor reports whether the team of a job or its size class is served less than its floor.
func (c *refusalCosts) belowFloor(account *teamAccount, j *job) bool {
	return account.all.served() < teamFloor*c.all.served() || account.classes[j.size].served() < classFloor*account.all.served()
}

// reservedPart returns the part of the expected work of higher levels for which a level leaves capacity. It follows what was
// refused: it grows while higher levels are refused more often than refusedFactor allows, and shrinks while this level is.
func (c *refusalCosts) reservedPart(level int) float64 {
	account := c.levels[level]
	if account == nil {
		return usualReserved
	}
	target := refusedFactor*account.above.refused + refusedSlack
	known := float64(account.own.count) / float64(account.own.count+priorJobs)
	own := target + known*(account.own.refused+refusedSlack-target)
	return min(max(usualReserved*math.Pow(target/own, reservedPower), minReserved), maxReserved)
}

// waitMargin returns the part of its longest useful wait that a job may be forecast to wait. Run times and what other entries
// take deviate from the forecast; the more jobs have waited in vain, the less it is trusted.
func (c *refusalCosts) waitMargin() float64 {
	return max(maxWaitMargin-vainWeight*c.promises.refused, minWaitMargin)
}
