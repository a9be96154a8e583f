//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	serviceName = "service-a"
	routeHost   = "host-a.example"
	routePrefix = "/queue-a/"
	routeName   = "r-a"
)

// configuration returns a configuration with one queue.
func configuration(version, timeoutMilliseconds int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": routeName, "host": routeHost, "path-prefix": routePrefix, "type": "non_idempotent", "timeout-ms": timeoutMilliseconds,
			"target-latency-ms": 60, "priority": 0, "service": serviceName, "max-attempts": 3, "slowdown-factor": 1.6,
		}},
		"services": []any{map[string]any{"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return text
}

// replaceConfig sends a configuration to one daemon after another until one acknowledges it. It reports whether one did
// within limit.
func (s *stage) replaceConfig(daemons []*machine, text []byte, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for at := 0; time.Now().Before(deadline); at++ {
		m := daemons[at%len(daemons)]
		status, _ := call("POST", "http://"+m.address(s.controlPort())+"/v1/Config.Replace", "", text, operatorTimeout, nil)
		if status == 200 {
			s.note("operator: configuration acknowledged by %s: %.60s", m.name, text)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// readConfig asks one daemon for the configuration and returns the status and the version.
func (s *stage) readConfig(m *machine) (int, int) {
	status, text := call("GET", "http://"+m.address(s.controlPort())+"/v1/Config.Get", "", nil, operatorTimeout, nil)
	var document struct {
		Version int `json:"version"`
	}
	if status == 200 && json.Unmarshal(text, &document) != nil {
		return status, 0
	}
	return status, document.Version
}

// startCore starts machines 1 to count with the role control, as at the first start of an installation.
func (s *stage) startCore(count int) ([]*machine, []string, error) {
	var seeds []string
	for number := 1; number <= 3; number++ {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", s.network, number, s.controlPort()))
	}
	var core []*machine
	for number := 1; number <= count; number++ {
		m := s.addMachine("control", number, seeds)
		if err := m.start(true); err != nil {
			return nil, nil, err
		}
		core = append(core, m)
	}
	return core, seeds, nil
}
