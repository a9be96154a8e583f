//go:build review3

package main

import (
	"fmt"
	"time"
)

// idle starts a deployment for tries by hand. It is no case.
func idle(root string, log *record, _ bool) error {
	c, workers, err := startSmall(root, log, 5, 3, 4, 32000)
	if err != nil {
		return err
	}
	defer c.end()
	for _, m := range c.machines {
		fmt.Println(m.name, m.ip, m.command.Process.Pid)
	}
	fmt.Println(c.folder, len(workers))
	time.Sleep(110 * time.Second)
	for _, m := range c.machines {
		if m.hasEnded() {
			fmt.Println("ended", m.name)
		}
	}
	return nil
}
