//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// drain stops entries with SIGTERM while clients use channels that stay open. It serves to look for faults.
func drain(root string, log *record, trouble bool) error {
	c, workers, err := startSmall(root, log, 3, 2, 8, 64000)
	if err != nil {
		return err
	}
	defer c.end()
	entries := c.of("edge")
	end := time.Now().Add(60 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	counts := map[string]int{}
	for i := range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
			for time.Now().Before(end) {
				m := entries[i%2]
				spec, _ := json.Marshal(work{Milliseconds: 20 + rand.IntN(300), CPU: 500})
				id := fmt.Sprintf("%016x", rand.Uint64())
				body, _ := json.Marshal(map[string]any{"spec": string(spec), "best-effort": true, "steps": []map[string]any{{"count": 1, "cpu": 500, "mem-mb": 64, "estimated-ms": 150}}})
				request, _ := http.NewRequest(http.MethodPost, "http://"+m.at(frontendPort)+"/pufi791/"+id, bytes.NewReader(body))
				request.Host = "nony24.example"
				sent := time.Now()
				response, err := client.Do(request)
				what := ""
				if err != nil {
					what = reasonOf(err)
					time.Sleep(20 * time.Millisecond)
				} else {
					if _, err := io.ReadAll(response.Body); err != nil {
						what = "cut"
					} else {
						what = fmt.Sprint(response.StatusCode)
					}
					_ = response.Body.Close()
				}
				mu.Lock()
				counts[what]++
				if what == "broken" || what == "cut" || what == "late" {
					broken = append(broken, fmt.Sprintf("%s at %s, sent %v before, %v", id, m.name, time.Since(sent), err))
				}
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		}()
	}
	for i := 0; trouble && time.Now().Before(end.Add(-10*time.Second)); i++ {
		m := entries[i%2]
		time.Sleep(700 * time.Millisecond)
		c.signal(m, syscall.SIGTERM)
		select {
		case <-m.exited:
			log.add("%s has ended", m.name)
		case <-time.After(6 * time.Second):
			log.add("%s has not ended in time", m.name)
			c.kill(m)
		}
		_ = c.start(m)
		time.Sleep(time.Second)
	}
	group.Wait()
	ran := attempts(workers)
	fmt.Println(counts)
	for _, b := range broken {
		fmt.Println(b, len(ran[b[:16]+".0.0.0"]))
	}
	return nil
}
