//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startSmall starts a small deployment with workers and a configuration in force.
func startSmall(root string, log *record, core, edge, side, cpu int) (*cluster, []*worker, error) {
	c, err := makeCluster(root, log, core, edge, side)
	if err != nil {
		return nil, nil, err
	}
	workers, err := c.startWorkers(cpu)
	if err == nil {
		err = c.startAll()
	}
	if err == nil {
		err = c.configure(1, usualRoutes, 20*time.Second)
	}
	if err == nil {
		err = c.awaitReady(20 * time.Second)
	}
	c.bootstrap = false
	if err != nil {
		c.end()
		return nil, nil, err
	}
	log.add("all entries are ready")
	return c, workers, nil
}

// chaos plays random disruptions. It serves to look for faults and is no case.
func chaos(root string, log *record, trouble bool) error {
	c, workers, err := startSmall(root, log, 5, 3, 6, 32000)
	if err != nil {
		return err
	}
	defer c.end()
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(seed, 1))
	log.add("seed %d", seed)
	wanted := strings.Split(os.Getenv("ONLY"), ",")
	entries := c.of("edge")
	k := &clients{cluster: c, log: log, retries: 2, pick: func(previous *machine) *machine {
		for {
			if m := entries[rand.IntN(len(entries))]; m != previous {
				return m
			}
		}
	}}
	end := time.Now().Add(70 * time.Second)
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for time.Now().Before(end) {
			switch x := rand.Float64(); {
			case x < 0.25:
				k.submit(usualRoutes[0], 1+rand.IntN(8), 20+rand.IntN(100), 3100, 1500*time.Millisecond)
			case x < 0.35:
				k.submit(usualRoutes[1], 1+rand.IntN(4), 300+rand.IntN(1000), 3100, 4*time.Second)
			default:
				k.submit(usualRoutes[2], 1+rand.IntN(3), 50+rand.IntN(300), 3100, 1500*time.Millisecond)
			}
			time.Sleep(time.Duration(rand.ExpFloat64()*25) * time.Millisecond)
		}
	}()
	busy := map[*machine]bool{}
	var mu sync.Mutex
	actions := []string{"stop", "kill", "term", "hup", "short"}
	if os.Getenv("ONLY") != "" {
		actions = wanted
	}
	classes := strings.Split(os.Getenv("CLASSES"), ",")
	for trouble && time.Now().Before(end.Add(-6*time.Second)) {
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		m := c.machines[random.IntN(len(c.machines))]
		if os.Getenv("CLASSES") != "" && !strings.Contains(strings.Join(classes, ","), m.class) {
			continue
		}
		mu.Lock()
		skip := busy[m]
		down := 0
		for other := range busy {
			if busy[other] && other.class == m.class {
				down++
			}
		}
		if m.class == "core" && down >= 2 || m.class != "core" && down >= 2 {
			skip = true
		}
		if !skip {
			busy[m] = true
		}
		mu.Unlock()
		if skip {
			continue
		}
		action := actions[random.IntN(len(actions))]
		pause := time.Duration(200+random.IntN(4500)) * time.Millisecond
		group.Add(1)
		go func() {
			defer group.Done()
			switch action {
			case "stop":
				c.signal(m, syscall.SIGSTOP)
				time.Sleep(pause)
				c.signal(m, syscall.SIGCONT)
			case "short":
				for range 3 {
					c.signal(m, syscall.SIGSTOP)
					time.Sleep(pause / 8)
					c.signal(m, syscall.SIGCONT)
					time.Sleep(pause / 8)
				}
			case "kill":
				c.kill(m)
				time.Sleep(pause / 3)
				_ = c.start(m)
			case "term":
				c.signal(m, syscall.SIGTERM)
				select {
				case <-m.exited:
				case <-time.After(6 * time.Second):
					c.kill(m)
				}
				time.Sleep(pause / 6)
				_ = c.start(m)
			case "hup":
				c.signal(m, syscall.SIGHUP)
			}
			time.Sleep(500 * time.Millisecond)
			mu.Lock()
			busy[m] = false
			mu.Unlock()
		}()
	}
	group.Wait()
	k.group.Wait()
	time.Sleep(2 * time.Second)
	status, text := call(&http.Client{Timeout: time.Second}, http.MethodGet, "http://"+c.machines[0].at(controlPort)+"/v1/Config.Get", nil)
	fmt.Println(k.summary(), "config", status, len(text))
	found := judge(k, workers)
	for _, line := range found {
		log.add("%s", line)
		fmt.Println(line)
	}
	if len(found) > 0 {
		return fmt.Errorf("%w: %s", errBroken, found[0])
	}
	return nil
}
