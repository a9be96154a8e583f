//go:build review3

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// period is the tenth of a second for which a processor's allowance is given.
const period = 100 * time.Millisecond

// processor is the processor of a machine: an allowance of a core. DEPLOY.md: "On some days, a core's share is an allowance. The
// core runs at full speed until the allowance is used up, and then runs not at all for the rest of that tenth of a second."
type processor struct {
	cluster *cluster
	machine *machine
	share   float64

	mu sync.Mutex
	// frozen is set while the machine is frozen, and held while its allowance is used up.
	frozen, held bool
	// stops counts the tenths of a second in which the allowance was used up.
	stops int
	done  chan struct{}
}

// limit gives a machine's process an allowance.
func (c *cluster) limit(m *machine, share float64) *processor {
	p := &processor{cluster: c, machine: m, share: share, done: make(chan struct{})}
	background.Go(p.run)
	return p
}

func (p *processor) run() {
	for {
		select {
		case <-p.done:
			return
		default:
		}
		until, used := time.Now().Add(period), p.used()
		for time.Now().Before(until) {
			time.Sleep(time.Millisecond)
			if float64(p.used()-used) >= p.share*float64(period) {
				p.set(func() { p.held, p.stops = true, p.stops+1 })
				time.Sleep(time.Until(until))
				p.set(func() { p.held = false })
			}
		}
	}
}

// set changes the state and stops or continues the process to match it.
func (p *processor) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.frozen || p.held
	change()
	after := p.frozen || p.held
	switch {
	case after && !before:
		_ = p.machine.command.Process.Signal(syscall.SIGSTOP)
	case before && !after:
		_ = p.machine.command.Process.Signal(syscall.SIGCONT)
	}
}

// freeze freezes the machine or lets it wake.
func (p *processor) freeze(frozen bool) {
	p.set(func() { p.frozen = frozen })
	p.cluster.log.add("platform: %s is frozen: %t", p.machine.name, frozen)
}

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// used returns the processor time that the process has used. A kernel without schedstat tells it in clock ticks.
func (p *processor) used() time.Duration {
	folder := fmt.Sprintf("/proc/%d", p.machine.command.Process.Pid)
	files, _ := filepath.Glob(folder + "/task/*/schedstat")
	sum := int64(0)
	for _, file := range files {
		text, _ := os.ReadFile(file)
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			nanoseconds, _ := strconv.ParseInt(fields[0], 10, 64)
			sum += nanoseconds
		}
	}
	if sum > 0 {
		return time.Duration(sum)
	}
	text, _ := os.ReadFile(folder + "/stat")
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}
