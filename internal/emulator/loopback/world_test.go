package loopback

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// No gateway process may be left once a world whose context has ended is closed.
func TestProcessesEndWithTheContext(t *testing.T) {
	opts, _ := newOptions(t, newScenario(time.Minute))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w, err := Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	var pids []int
	w.scheduler.Do(func() {
		for _, g := range w.gateways {
			g.process.mu.Lock() // the process is running, so its ID is known
			pids = append(pids, g.process.command.Process.Pid)
			g.process.mu.Unlock()
		}
	})
	time.AfterFunc(time.Second, cancel)
	if _, err := w.Drive(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Drive with a cancelled context: got error %v", err)
	}
	w.Close()
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d has not ended: %v", pid, err)
		}
	}
	if len(pids) != 2 {
		t.Errorf("got %d processes, want 2", len(pids))
	}
}

// The end of a world kills its gateway processes. It must not be observed as a failure of these gateways.
func TestEndOfTheContextIsNotObserved(t *testing.T) {
	opts, o := newOptions(t, newScenario(time.Minute))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w, err := Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	cancel()
	for running := len(w.gateways); running > 0; time.Sleep(time.Millisecond) {
		running = 0
		w.scheduler.Do(func() {
			for _, g := range w.gateways {
				if g.process != nil {
					running++
				}
			}
		})
	}
	if stopped := o.count("GatewayStopped"); stopped != 0 {
		t.Errorf("%d gateways were observed to stop, want 0: %v", stopped, o.seen)
	}
}

// Start must fail with ErrNotReady if the program is not a gateway or does not exist.
func TestStartFailsForProgramThatIsNoGateway(t *testing.T) {
	for _, program := range []string{"/bin/false", filepath.Join(t.TempDir(), "missing")} {
		opts, o := newOptions(t, newScenario(time.Second))
		opts.Gateway = program
		opts.Logger = slog.New(slog.DiscardHandler)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		w, err := Start(ctx, opts)
		if err == nil {
			w.Close()
		}
		if !errors.Is(err, ErrNotReady) || o.count("GatewayStarted") != 0 {
			t.Errorf("%s: got error %v, want ErrNotReady and no gateway start", program, err)
		}
	}
}

// Gateways that are started by hand with the configurations in the directory must be driven like those of the world.
func TestManuallyStartedGatewaysServeRequests(t *testing.T) {
	opts, o := newOptions(t, newScenario(time.Second))
	opts.Gateway = ""
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	w, err := Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	for _, address := range w.Addresses().Gateways {
		command := exec.CommandContext(ctx, gatewayProgram)
		command.Env = append(gatewayEnvironment(os.Environ()), configVariable+"="+address.Config)
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = command.Wait() }() // the process is killed when the context ends, so Wait returns an error
	}
	defer cancel()
	if o.summary, err = w.Drive(ctx); err != nil {
		t.Fatal(err)
	}
	o.checkRules(t)
	if o.count("answer 1") == 0 || o.summary.GatewayStarts != 0 {
		t.Errorf("want served requests and no started processes: %+v %v", o.summary, o.seen)
	}
}

// A gateway that forges answers, or sends endpoints requests that no client has sent, must be detected.
func TestForgedRequestsAndAnswersAreDetected(t *testing.T) {
	s := newScenario(time.Second)
	s.Gateways = 1
	opts, o := newOptions(t, s)
	opts.Gateway = ""
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	w, err := Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	addresses := w.Addresses()
	listener, err := net.Listen("tcp4", addresses.Gateways[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/health/") {
			return
		}
		forged, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addresses.Endpoints[0]+r.URL.Path+"0", nil)
		if err != nil {
			t.Error(err)
			return
		}
		forged.Header.Set(requestIDHeader, r.Header.Get(requestIDHeader))
		got, err := http.DefaultClient.Do(forged)
		if err != nil {
			t.Error(err)
			return
		}
		if got.StatusCode != http.StatusBadRequest {
			t.Errorf("the endpoint answered %s", got.Status)
		}
		_ = got.Body.Close()                               // the body is not needed
		_, _ = io.WriteString(response, "a forged answer") // an error means that the client has disconnected
	})}
	go func() { _ = server.Serve(listener) }() // Serve returns an error when the server is closed
	defer func() { _ = server.Close() }()
	if o.summary, err = w.Drive(ctx); err != nil {
		t.Fatal(err)
	}
	served := o.count("answer 1")
	if served == 0 || o.count("not genuine") != served || o.summary.UnknownRequests != int64(served) {
		t.Errorf("want only answers that are not genuine, and as many unknown requests: %+v %v", o.summary, o.seen)
	}
	if o.checker.Finish(o.last).Passed() {
		t.Error("the checker found no violation")
	}
}

// Start must refuse a scenario that is too large for sockets, or invalid, before it starts anything.
func TestStartRejectsTooLargeAndInvalidScenarios(t *testing.T) {
	large := newScenario(time.Second)
	large.Gateways = maxGateways + 1
	var limit *LimitError
	if _, err := Start(t.Context(), Options{Scenario: large}); !errors.As(err, &limit) || limit.Name != "gateways" {
		t.Errorf("a scenario with too many gateways: got error %v, want a LimitError for gateways", err)
	}
	if _, err := Start(t.Context(), Options{Scenario: emulator.Scenario{}}); err == nil {
		t.Error("an empty scenario was accepted")
	}
}
