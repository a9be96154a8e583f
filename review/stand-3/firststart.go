//go:build review3

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// loseDisks kills the processes of machines, removes their disks, and starts them again after a time. As the pages say, they
// come back with an empty data-dir and with bootstrap set to false.
func (c *cluster) loseDisks(machines []*machine, down time.Duration) error {
	for _, m := range machines {
		c.signal(m, syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.exited
		if err := os.RemoveAll(m.data); err != nil {
			return err
		}
		c.log.add("platform: the disk of %s is lost", m.name)
	}
	time.Sleep(down)
	c.bootstrap = false
	for _, m := range machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

// firstStart loses the disk of the first seed at the first start of the whole system, and asks whether a configuration is
// acknowledged once all machines are back.
func firstStart(root string, log *record, trouble bool) error {
	c, err := makeCluster(root, log, 5, 0, 0)
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.startAll(); err != nil {
		return err
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		if err := c.loseDisks(c.machines[:1], time.Second); err != nil {
			return err
		}
	}
	// recovery-s after all are back, which is more than contact-ms, so the core is stable from here on.
	time.Sleep(12 * time.Second)
	log.add("all machines have run for recovery-s")
	begun := time.Now()
	status := c.operate(http.MethodPost, "/v1/Config.Replace", configText(1, usualRoutes), 30*time.Second, c.of("core"))
	waited := time.Since(begun).Round(time.Millisecond)
	for _, m := range c.machines {
		if m.hasEnded() {
			return fmt.Errorf("%s has ended by itself", m.name)
		}
	}
	if status != http.StatusOK && waited > 4*time.Second {
		return fmt.Errorf("%w: Acks: no acknowledgement of a valid configuration in %v with five of five machines up and connected; the last status is %d", errBroken, waited, status)
	}
	return nil
}

// firstAck loses two disks right after the first configuration is acknowledged, and reads it back once all machines are back.
func firstAck(root string, log *record, trouble bool) error {
	c, err := makeCluster(root, log, 5, 0, 0)
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.configure(1, usualRoutes, 15*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := c.loseDisks(c.machines[:2], 1500*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	log.add("all machines have run for recovery-s")
	for _, m := range c.machines {
		if m.hasEnded() {
			return fmt.Errorf("%s has ended by itself", m.name)
		}
	}
	// The operator reads for longer than contact-ms, at all machines.
	client := &http.Client{Timeout: time.Second}
	want, end := configText(1, usualRoutes), time.Now().Add(20*time.Second)
	var mu sync.Mutex
	read := false
	var group sync.WaitGroup
	for _, m := range c.of("core") {
		group.Go(func() {
			for time.Now().Before(end) {
				status, text := call(client, http.MethodGet, "http://"+m.at(controlPort)+"/v1/Config.Get", nil)
				log.add("operator GET /v1/Config.Get at %s: %d, %d bytes", m.name, status, len(text))
				mu.Lock()
				read = read || status == http.StatusOK && bytes.Equal(text, want)
				over := read
				mu.Unlock()
				if over {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	group.Wait()
	if !read {
		status := c.operate(http.MethodPost, "/v1/Config.Replace", configText(2, usualRoutes), 10*time.Second, c.of("core"))
		return fmt.Errorf("%w: CONFIG: configuration 1 was acknowledged and is not read back in 20 s with five of five machines up; a new one gets %d", errBroken, status)
	}
	return nil
}
