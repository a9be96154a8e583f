package vwdispatch

import "time"

// ReturnLoad is the load behind the advice when a caller whose job a limit has refused should return: the work that waits, the
// work that can start in a second, and that of the job, all in the same unit. Released is zero if it is not known.
type ReturnLoad struct{ Waiting, Released, Work float64 }

// IsOfTeam reports whether the limit is one of a team alone.
func (l Limit) IsOfTeam() bool {
	return l != LimitQueueTasks && l != LimitQueueBytes
}

// ReturnLoad returns the load of the line in which a job waits that the limit has refused: that of the team's rate in tasks,
// or in seconds of a slot that of the team or of all teams of the service.
func (q *Queue) ReturnLoad(now time.Time, job Job, limit Limit) ReturnLoad {
	team := q.team(job.Team)
	if limit == LimitTeamRate {
		return ReturnLoad{Waiting: max(-team.tokens, 0), Released: team.policy.Rate, Work: float64(len(job.Tasks))}
	}
	service := q.service(job.Service)
	queue := service.team(team)
	load := ReturnLoad{Released: service.expectedThroughput(now)}
	if service.unmetDemand() == 0 {
		// The throughput shows the demand and not the capacity.
		load.Released = max(load.Released, float64(service.slots))
	}
	for i := range job.Tasks {
		load.Work += queue.expectedRunTime(job.Tasks[i].RunTime).Seconds()
	}
	weights := 0.0
	for _, other := range service.teamOrder {
		if other == queue || other.waiting > 0 {
			weights += other.team.policy.Weight
		}
		if other == queue || !limit.IsOfTeam() {
			load.Waiting += other.meanRunTime.Seconds() * float64(other.waiting)
		}
	}
	if limit.IsOfTeam() && weights > 0 {
		load.Released *= team.policy.Weight / weights
	}
	return load
}
