package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// descriptorLimitVariable is the environment variable for the file descriptor limit of the program under test.
const descriptorLimitVariable = "TEST_FILES"

// TestMain makes the test binary act as the program if RELAY_CONFIG is set.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") == "" {
		os.Exit(m.Run())
	}
	if err := limitDescriptors(os.Getenv(descriptorLimitVariable)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	main()
	os.Exit(0)
}

// limitDescriptors sets the file descriptor limit of the process, unless value is empty.
func limitDescriptors(value string) error {
	if value == "" {
		return nil
	}
	limit, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return fmt.Errorf("parse the descriptor limit: %w", err)
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
}

// program is a running gateway process.
type program struct {
	t       *testing.T
	command *exec.Cmd
	address string
	log     *bufio.Reader // the log after the line with the address
}

// startProgram starts the gateway with a configuration file and waits until it listens.
func startProgram(t *testing.T, file string) *program {
	t.Helper()
	return startProgramWith(t, file, func(command *exec.Cmd) *os.File {
		stderr, err := command.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		return stderr.(*os.File)
	})
}

// startProgramWith is like startProgram, but connectLog sets the standard error of the program and returns the file
// from which the test reads it.
func startProgramWith(t *testing.T, file string, connectLog func(*exec.Cmd) *os.File) *program {
	t.Helper()
	return startCommand(t, exec.Command(os.Args[0]), file, connectLog)
}

// startCommand is like startProgramWith for any program that is a gateway.
func startCommand(t *testing.T, command *exec.Cmd, file string, connectLog func(*exec.Cmd) *os.File) *program {
	t.Helper()
	command.Env = append(os.Environ(), "RELAY_CONFIG="+file, "RELAY_DISCOVERY=")
	stderr := connectLog(command)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	kill := func() { _ = command.Process.Kill() } // fails if the process has ended
	killTimer := time.AfterFunc(3*testkit.Timeout, kill)
	t.Cleanup(func() { killTimer.Stop(); kill() })
	p := &program{t: t, command: command, log: bufio.NewReader(stderr)}
	_, address, ok := strings.Cut(strings.TrimSpace(p.awaitLog(" msg=listening ")), " address=")
	if !ok {
		t.Fatal("the log line has no address")
	}
	p.address = address
	return p
}

// signal sends a signal to the program.
func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// collectLog returns a channel that receives the rest of the log once the program has closed it.
func (p *program) collectLog() <-chan string {
	log := make(chan string, 1)
	go func() {
		rest, err := io.ReadAll(p.log)
		if err != nil && !errors.Is(err, os.ErrClosed) {
			rest = fmt.Appendf(rest, "(%v)", err)
		}
		log <- string(rest)
	}()
	return log
}

// awaitLog reads the log up to the next line that contains the text and returns that line.
func (p *program) awaitLog(text string) string {
	p.t.Helper()
	for {
		line, err := p.log.ReadString('\n')
		if err != nil {
			p.t.Fatalf("%q was not logged: %v", text, err)
		}
		if strings.Contains(line, text) {
			return line
		}
	}
}

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// serveHTTP runs an HTTP server on the listener until the end of the test.
func serveHTTP(t *testing.T, listener net.Listener, handler http.HandlerFunc) {
	t.Helper()
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() }) // the connections are not used any more
}

// listen opens a TCP listener until the end of the test.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails if its server has closed it
	return listener
}

// payRequest returns a request of class pay for customer i, from 0 to 9.
func payRequest(t *testing.T, address string, i int) *http.Request {
	t.Helper()
	path := "/pay/000000000000000" + strconv.Itoa(i)
	request := testkit.NewRequest(t, address, http.MethodPost, path, testkit.Plan, "x", "8")
	request.Header.Set("Req-Id", "a"+strconv.Itoa(i))
	request.Header.Set("Quota-Info", "units=1,spread=1,first=0")
	request.Header.Del("Idempotency-Key")
	return request
}
