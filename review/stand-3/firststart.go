//go:build review3

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// firstStart loses the first seed for good at the first start of the whole system.
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
		c.signal(c.machines[0], syscall.SIGKILL)
	}
	time.Sleep(10 * time.Second)
	cores := c.of("core")
	if trouble {
		cores = cores[1:]
	}
	status := c.operate(http.MethodPost, "/v1/Config.Replace", configText(1, usualRoutes), 30*time.Second, cores)
	if status != http.StatusOK {
		return fmt.Errorf("%w: no acknowledgement of the first configuration in 30 s, last status %d", errBroken, status)
	}
	return nil
}
