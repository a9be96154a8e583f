//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// encodedPrefix is a path prefix with a letter that no path can hold as it is.
const encodedPrefix = "/k%C3%A4sittely/"

// queueLength asks an entry for the length of a queue and returns the status. The path is sent as it stands.
func queueLength(m *machine, host, path string) int {
	conn, err := net.DialTimeout("tcp", m.at(frontendPort), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, host); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// encodedRoute adds routes and asks for their queues, one of them with an escaped letter in its prefix.
func encodedRoute(root string, log *record, trouble bool) error {
	c, err := makeCluster(root, log, 3, 1, 0)
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.configure(1, usualRoutes, 20*time.Second); err != nil {
		return err
	}
	entry := c.of("edge")[0]
	time.Sleep(5 * time.Second)
	if status := queueLength(entry, usualRoutes[0].Host, usualRoutes[0].Prefix); status != http.StatusOK {
		return fmt.Errorf("the first configuration is not in force: %d", status)
	}
	added := []route{{"r-d", "ficu95.example", "/kasittely/", "non_idempotent", 1500, 60, 1, serviceName, 2, 1.6}}
	if trouble {
		added = append(added, route{"r-e", "ficu95.example", encodedPrefix, "non_idempotent", 1500, 60, 1, serviceName, 2, 1.6})
	}
	if err := c.configure(2, append(added, usualRoutes...), 10*time.Second); err != nil {
		return err
	}
	// More than config-apply-ms and contact-ms.
	time.Sleep(4 * time.Second)
	wrong := []string{}
	for range 10 {
		for _, r := range added {
			status := queueLength(entry, r.Host, r.Prefix)
			log.add("client GET %s at %s with Host %s: %d", r.Prefix, entry.name, r.Host, status)
			if status == http.StatusNotFound {
				wrong = append(wrong, r.Prefix)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%w: CONFIG: 4 s after its acknowledgement %d of %d requests to a route of the configuration got 404: %s", errBroken, len(wrong), 10, strings.Join(wrong[:1], " "))
	}
	return nil
}
