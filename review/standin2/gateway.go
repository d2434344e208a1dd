package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

const (
	deployFile   = "deploy/balancer.toml"
	readyTimeout = 30 * time.Second // a gateway may take this long to become ready
)

// object is a JSON object.
type object = map[string]any

// gateway is a gateway process.
type gateway struct {
	name    string
	address string
	process *exec.Cmd
	exited  chan struct{}
	stop    sync.Once
}

// runCommand returns the command with which the deploy file starts a gateway.
func runCommand() (string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", errors.New(deployFile + " has no command for run")
	}
	return string(match[1]), nil
}

// startGateway starts a gateway as the platform does and waits until it is ready.
func (w *world) startGateway(name, discovery string, limits, settings object) (*gateway, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(object{
		"name": name, "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": limits,
		"counter": discovery,
		"known":   object{"version": 0, "full": false, "servers": []any{}}, "settings": settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.directory, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	g := &gateway{name: name, address: address, process: exec.Command("/bin/sh", "-c", command),
		exited: make(chan struct{})}
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + w.directory, "RELAY_NAME=" + name,
		"RELAY_LISTEN=" + address, "RELAY_DISCOVERY=" + discovery, "RELAY_CONFIG=" + path}
	g.process.Stdout, g.process.Stderr = log, log
	if err := g.process.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	go func() {
		_ = g.process.Wait() // the exit status of a killed process is of no interest
		close(g.exited)
	}()
	w.logf("%s started with pid %d at %s", name, g.process.Process.Pid, address)
	return g, g.awaitReady()
}

// awaitReady waits until the health check of the gateway succeeds.
func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-g.exited:
			return fmt.Errorf("%s has ended before it was ready", g.name)
		default:
		}
		response, err := client.Get("http://" + g.address + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, readyTimeout)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.stop.Do(func() { _ = g.process.Process.Kill() }) // fails only if the process has ended
	<-g.exited
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}
