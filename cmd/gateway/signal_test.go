package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"springfield/internal/testkit"
)

// After SIGTERM the program must answer a request in flight before it exits, with status 0.
func TestSIGTERMDrainsAndExitsCleanly(t *testing.T) {
	endpoint := listen(t, "127.0.0.1:0")
	received, release := make(chan struct{}), make(chan struct{})
	serveHTTP(t, endpoint, func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		_, _ = io.WriteString(w, "done") // the response is checked below
	})
	gateway := startProgram(t, writeConfig(t, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"version":1,"full":true,"servers":[
	{"id":"s","addr":"`+endpoint.Addr().String()+`","state":"up","weight":1}]},
"settings":{"Balancers":1,
	"Classes":[{"Name":"pay","AimMs":5000,"HardLimitMs":8000,"Repeat":"at_most_once","Value":1}],
	"Contracts":[{"Name":"team","UnitsPerS":10,"Burst":10,"Pays":1}],"Limits":{"Cancel":true}}}`))
	log := gateway.collectLog()

	responses := make(chan testkit.Response, 1)
	request := payRequest(t, gateway.address, 1)
	go func() { responses <- testkit.RoundTrip(http.DefaultClient, request) }()
	select {
	case <-received:
	case response := <-responses:
		t.Fatalf("the request was not forwarded: %+v", response)
	}
	gateway.signal(syscall.SIGTERM)
	testkit.Eventually(t, "the end of the listener", func() bool {
		conn, err := net.Dial("tcp", gateway.address)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
		}
		return err != nil
	})
	close(release)
	if got := <-responses; got.Err != nil || got.Status != http.StatusOK || got.Body != "done" {
		t.Errorf("got %+v", got)
	}
	rest := <-log
	if err := gateway.command.Wait(); err != nil {
		t.Errorf("the program ended with %v; log: %s", err, rest)
	}
}

// At each SIGHUP the program must switch to the discovery address in its configuration file, or keep the old one if the
// file cannot be parsed. A SIGHUP must never end the process, not even during a drain, and SIGTERM must still do so.
func TestSIGHUPSwitchesDiscoveryAddress(t *testing.T) {
	config := func(discovery string) string {
		return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `",
"settings":{"Balancers":1,"Classes":[{"Name":"pay","HardLimitMs":1000,"Repeat":"at_most_once","Value":1}],
"Contracts":[{"Name":"team","UnitsPerS":10,"Burst":10,"Pays":1}]}}`
	}
	first, second, third := testkit.NewRegistry(t), testkit.NewRegistry(t), testkit.NewRegistry(t)
	file := writeConfig(t, config(first.Address()))
	replace := func(discovery string) {
		t.Helper()
		if err := os.WriteFile(file+"~", []byte(config(discovery)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+"~", file); err != nil {
			t.Fatal(err)
		}
	}
	gateway := startProgram(t, file)
	testkit.Receive(t, "a watch at the first address", first.Watches)

	replace(second.Address())
	gateway.signal(syscall.SIGHUP)
	testkit.Receive(t, "a watch at the second address", second.Watches)

	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway.signal(syscall.SIGHUP)
	gateway.awaitLog(`msg="configuration kept"`)

	replace(third.Address())
	for range 3 {
		gateway.signal(syscall.SIGHUP)
	}
	testkit.Receive(t, "a watch at the third address", third.Watches)
	gateway.signal(syscall.SIGTERM)
	gateway.signal(syscall.SIGHUP) // must have no effect during a drain
	rest := <-gateway.collectLog()
	if err := gateway.command.Wait(); err != nil {
		t.Errorf("the program ended with %v; log: %s", err, rest)
	}
}

// The deploy file starts the program with SIGHUP ignored, so that a SIGHUP before the program handles signals does not
// end it. Later a SIGHUP must reload the configuration nevertheless.
func TestSIGHUPIgnoredAtStartReloadsLater(t *testing.T) {
	first, second := testkit.NewRegistry(t), testkit.NewRegistry(t)
	file := writeConfig(t, oneEndpointConfig(first.Address(), "127.0.0.1:1"))
	gateway := startProgramWith(t, file, func(command *exec.Cmd) *os.File {
		command.Path, command.Args = "/bin/sh", []string{"sh", "-c", `trap '' HUP; kill -HUP $$; exec "$0"`, command.Path}
		stderr, err := command.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		return stderr.(*os.File)
	})
	testkit.Receive(t, "a watch at the first address", first.Watches)
	replaceConfig(t, file, oneEndpointConfig(second.Address(), "127.0.0.1:1"))
	gateway.signal(syscall.SIGHUP)
	testkit.Receive(t, "a watch at the second address", second.Watches)
}
