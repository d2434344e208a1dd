package main

import (
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"springfield/internal/testkit"
)

// oneEndpointConfig returns a complete configuration with the class pay and one endpoint.
func oneEndpointConfig(discovery, endpoint string) string {
	return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `",
"known":{"version":1,"full":true,"servers":[{"id":"s","addr":"` + endpoint + `","state":"up","weight":1}]},
"settings":{"Balancers":1,
	"Classes":[{"Name":"pay","AimMs":5000,"HardLimitMs":8000,"Repeat":"at_most_once","Value":1}],
	"Contracts":[{"Name":"team","UnitsPerS":10,"Burst":10,"Pays":1}]}}`
}

// brokenConfig cannot be parsed. Reloading it is logged and changes nothing.
const brokenConfig = "{"

// replaceConfig replaces a configuration file atomically.
func replaceConfig(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file+"~", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+"~", file); err != nil {
		t.Fatal(err)
	}
}

// startWithLogPipe starts the program with a pipe as its standard error and returns both ends of the pipe.
func startWithLogPipe(t *testing.T, file string) (gateway *program, reader, writer *os.File) {
	t.Helper()
	var ends [2]int // os.Pipe would make the write end non-blocking
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	reader, writer = os.NewFile(uintptr(ends[0]), "log reader"), os.NewFile(uintptr(ends[1]), "log writer")
	t.Cleanup(func() {
		_ = reader.Close() // fails if the test has closed it
		_ = writer.Close()
	})
	gateway = startProgramWith(t, file, func(command *exec.Cmd) *os.File {
		command.Stderr = writer
		return reader
	})
	return gateway, reader, writer
}

// registryWith starts a discovery service that lists the endpoint.
func registryWith(t *testing.T, endpoint *testkit.Server) *testkit.Registry {
	t.Helper()
	registry := testkit.NewRegistry(t)
	registry.SetEntry("s", testkit.EndpointLine("s", endpoint.Address(), "up", 0))
	return registry
}

// wantServed sends a request of customer i and checks that it is served.
func wantServed(t *testing.T, gateway *program, i int) {
	t.Helper()
	response := testkit.RoundTrip(http.DefaultClient, payRequest(t, gateway.address, i))
	if response.Err != nil || response.Status != http.StatusOK {
		t.Errorf("request %d: got %+v", i, response)
	}
}

// If the reader of standard error closes the pipe, only log lines may be lost. Without handling of SIGPIPE the next log
// line would end the process.
func TestClosedLogReaderDoesNotEndProgram(t *testing.T) {
	endpoint := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	registry, next := registryWith(t, endpoint), registryWith(t, endpoint)
	file := writeConfig(t, oneEndpointConfig(registry.Address(), endpoint.Address()))
	gateway, reader, _ := startWithLogPipe(t, file)
	testkit.Receive(t, "a watch", registry.Watches)
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}

	replaceConfig(t, file, brokenConfig)
	gateway.signal(syscall.SIGHUP) // logs that the configuration is kept
	replaceConfig(t, file, oneEndpointConfig(next.Address(), endpoint.Address()))
	gateway.signal(syscall.SIGHUP) // logs that the configuration is reloaded
	testkit.Receive(t, "a watch at the next address", next.Watches)
	gateway.signal(syscall.SIGTERM)
	if err := gateway.command.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// If nobody reads the log, writes to the full pipe must not block the reload of the configuration, discovery, requests
// or the end of the program.
func TestFullLogPipeDoesNotBlockProgram(t *testing.T) {
	endpoint := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	registry, next := registryWith(t, endpoint), registryWith(t, endpoint)
	file := writeConfig(t, oneEndpointConfig(registry.Address(), endpoint.Address()))
	gateway, _, writer := startWithLogPipe(t, file)
	testkit.Receive(t, "a watch", registry.Watches)
	fillPipe(t, writer)

	replaceConfig(t, file, brokenConfig)
	gateway.signal(syscall.SIGHUP) // logs that the configuration is kept
	replaceConfig(t, file, oneEndpointConfig(next.Address(), endpoint.Address()))
	gateway.signal(syscall.SIGHUP)
	testkit.Receive(t, "a watch at the next address", next.Watches)
	wantServed(t, gateway, 1)
	gateway.signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- gateway.command.Wait() }()
	if err := testkit.Receive(t, "the end of the program", ended); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// fillPipe writes to the pipe until it is full. It leaves the pipe in blocking mode, which applies to the program too.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	fd := int(writer.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<10)
	for {
		if _, err := syscall.Write(fd, chunk); err != nil {
			break
		}
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
}
