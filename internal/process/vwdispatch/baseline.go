package vwdispatch

import "math/rand/v2"

// Baseline chooses a worker for a task at its arrival, without credits, from the number of
// unfinished tasks that the entry has sent to each worker. The policy benchmark compares the
// credit protocol with it; no process uses one.
type Baseline func(loads []int) int

// MakeRandom returns the baseline that chooses a worker at random.
func MakeRandom(random *rand.Rand) Baseline {
	return func(loads []int) int { return random.IntN(len(loads)) }
}

// MakeRoundRobin returns the baseline that chooses the workers in turn.
func MakeRoundRobin() Baseline {
	next := -1
	return func(loads []int) int {
		next = (next + 1) % len(loads)
		return next
	}
}

// MakeTwoChoices returns the baseline that chooses the less loaded of two random workers.
func MakeTwoChoices(random *rand.Rand) Baseline {
	return func(loads []int) int {
		first, second := random.IntN(len(loads)), random.IntN(len(loads))
		if loads[second] < loads[first] {
			return second
		}
		return first
	}
}
