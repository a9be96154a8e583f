//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The figures of viitepaja-vw-grown: 12 edge machines of 0.192 cores for 206, 37.5 and 600 jobs a second, so 70 for each.
const (
	edgeShare  = 0.192
	edgeRate   = 70.0
	freezeTime = 3500 * time.Millisecond
	// clientWait is the time budget of the clients.
	clientWait = 1500 * time.Millisecond
)

// balancer is the platform's entry point: it asks each daemon for its readiness once a second, and gives one that has missed
// twice no new channels until it is ready again.
type balancer struct {
	mu     sync.Mutex
	misses map[*machine]int
}

func (b *balancer) watch(m *machine, log *record) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		background.Go(func() {
			status, _ := call(client, http.MethodGet, "http://"+m.at(readyPort)+"/v1/readiness", nil)
			b.mu.Lock()
			defer b.mu.Unlock()
			before := b.misses[m] >= 2
			if b.misses[m]++; status == http.StatusOK {
				b.misses[m] = 0
			}
			if after := b.misses[m] >= 2; before != after {
				log.add("platform: %s gets channels: %t", m.name, !after)
			}
		})
	}
}

func (b *balancer) gets(m *machine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[m] < 2
}

// thawedEntry freezes an entry for seconds, again and again. Clients of its zone hand in jobs there; those who got no response send
// them to other entries, as the pages say.
func thawedEntry(root string, log *record, trouble bool) error {
	c, workers, err := startSmall(root, log, 5, 3, 34, 32000)
	if err != nil {
		return err
	}
	defer c.end()
	entries := c.of("edge")
	b := &balancer{misses: map[*machine]int{}}
	var processors []*processor
	for _, m := range entries {
		p := c.limit(m, edgeShare)
		defer close(p.done)
		processors = append(processors, p)
		background.Go(func() { b.watch(m, log) })
	}
	k := &clients{cluster: c, log: log, retries: 2, pick: func(previous *machine) *machine {
		if previous == nil && b.gets(entries[0]) {
			return entries[0]
		}
		return entries[1+rand.IntN(2)]
	}}
	// A slow machine takes longer to start, and the whole case has 120 s.
	end := log.begun.Add(88 * time.Second)
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for time.Now().Before(end) {
			switch x := rand.Float64() * (206 + 37.5 + 600); {
			case x < 206:
				k.submit(usualRoutes[0], 8, 60, 3200, clientWait)
			case x < 206+37.5:
				k.submit(usualRoutes[1], 4, 900, 3200, clientWait)
			default:
				k.submit(usualRoutes[2], 2, 200, 3200, clientWait)
			}
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / edgeRate))
		}
	})
	for trouble && time.Now().Before(end.Add(-freezeTime-5*time.Second)) {
		time.Sleep(4 * time.Second)
		processors[0].freeze(true)
		time.Sleep(freezeTime)
		processors[0].freeze(false)
	}
	traffic.Wait()
	k.group.Wait()
	time.Sleep(time.Second)
	fmt.Println(k.summary())
	for i, p := range processors {
		fmt.Printf("%s used up its allowance in %d tenths of a second\n", entries[i].name, p.stops)
	}
	found := judge(k, workers)
	for _, line := range found {
		log.add("%s", line)
	}
	if len(found) > 0 {
		return fmt.Errorf("%w: %d times, first %s", errBroken, len(found), found[0])
	}
	return nil
}
