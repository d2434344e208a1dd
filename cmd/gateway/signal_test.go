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

// SIGTERM with a request in flight answers it, and the program exits with 0.
func TestSIGTERMAnswersAndExitsCleanly(t *testing.T) {
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
		t.Fatalf("not forwarded: %+v", response)
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
		t.Errorf("%v; log: %s", err, rest)
	}
}

// At SIGHUP the program follows the new address of discovery, again and again. It keeps the old one when the file
// cannot be read, and SIGTERM still ends it. A SIGHUP once ended the process.
func TestSIGHUPFollowsTheNewDiscovery(t *testing.T) {
	config := func(discovery string) string {
		return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `",
"settings":{"Balancers":1,"Classes":[{"Name":"pay","HardLimitMs":1000,"Repeat":"at_most_once","Value":1}],
"Contracts":[{"Name":"team","UnitsPerS":10,"Burst":10,"Pays":1}]}}`
	}
	one, two, three := testkit.NewRegistry(t), testkit.NewRegistry(t), testkit.NewRegistry(t)
	file := writeConfig(t, config(one.Address()))
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
	testkit.Receive(t, "a watch at the first address", one.Watches)

	replace(two.Address())
	gateway.signal(syscall.SIGHUP)
	testkit.Receive(t, "a watch at the second address", two.Watches)

	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway.signal(syscall.SIGHUP)
	gateway.awaitLog(`msg="configuration kept"`)

	replace(three.Address())
	for range 3 {
		gateway.signal(syscall.SIGHUP)
	}
	testkit.Receive(t, "a watch at the third address", three.Watches)
	gateway.signal(syscall.SIGTERM)
	gateway.signal(syscall.SIGHUP) // also during a drain
	rest := <-gateway.collectLog()
	if err := gateway.command.Wait(); err != nil {
		t.Errorf("%v; log: %s", err, rest)
	}
}

// A SIGHUP that comes before the program handles signals does not end it, since the deploy file starts it with SIGHUP
// ignored; from then on SIGHUP reloads the configuration all the same.
func TestSIGHUPIgnoredAtTheStartReloadsLater(t *testing.T) {
	one, two := testkit.NewRegistry(t), testkit.NewRegistry(t)
	file := writeConfig(t, oneEndpointConfig(one.Address(), "127.0.0.1:1"))
	gateway := startProgramWith(t, file, func(command *exec.Cmd) *os.File {
		command.Path, command.Args = "/bin/sh", []string{"sh", "-c", `trap '' HUP; kill -HUP $$; exec "$0"`, command.Path}
		stderr, err := command.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		return stderr.(*os.File)
	})
	testkit.Receive(t, "a watch at the first address", one.Watches)
	replaceConfig(t, file, oneEndpointConfig(two.Address(), "127.0.0.1:1"))
	gateway.signal(syscall.SIGHUP)
	testkit.Receive(t, "a watch at the second address", two.Watches)
}
