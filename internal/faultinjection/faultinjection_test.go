package faultinjection_test

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"springfield/internal/faultinjection"
)

// An operation must fail with the error that the control file names, and must succeed without one.
func TestOperationsFailAsControlFileSays(t *testing.T) {
	control := filepath.Join(t.TempDir(), "faults")
	injector := faultinjection.New(control)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() }) // a broken listener has already failed the test
	listener, err := injector.Listener(inner)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "accept ENOBUFS\nconnect EMFILE\n", "accept nothing\nconnect\n", "connect ENFILE"} {
		if err := os.WriteFile(control, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		conn, err := injector.Dial(t.Context(), "tcp", inner.Addr().String())
		wantConnect := map[bool]error{strings.Contains(text, "EMFILE"): syscall.EMFILE,
			strings.Contains(text, "ENFILE"): syscall.ENFILE}[true]
		if !errors.Is(err, wantConnect) || (conn == nil) != (wantConnect != nil) {
			t.Errorf("%q: Dial returned %v, %v", text, conn, err)
		}
		if strings.Contains(text, "ENOBUFS") {
			if _, err := listener.Accept(); !errors.Is(err, syscall.ENOBUFS) {
				t.Errorf("%q: Accept returned error %v, want ENOBUFS", text, err)
			}
		} else if conn != nil {
			if _, err := listener.Accept(); err != nil {
				t.Errorf("%q: Accept returned error %v", text, err)
			}
		}
	}
}

// A production build of the gateway must not link the package, or an environment variable could inject faults.
func TestProductionBuildExcludesFaultInjection(t *testing.T) {
	const module = "springfield/internal/faultinjection"
	for _, test := range []struct {
		tags string
		want bool
	}{{"", false}, {"faultinjection", true}} {
		output, err := exec.Command("go", "list", "-deps", "-tags="+test.tags, "springfield/cmd/gateway").Output()
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Contains(string(output), module+"\n"); got != test.want {
			t.Errorf("tags %q: the package is linked: %v", test.tags, got)
		}
	}
}

// A dial must take at least as long as the control file says. A delay of another operation must not apply to it.
func TestConnectIsDelayedAsControlFileSays(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // a broken listener has already failed the test
	const delay = 20 * time.Millisecond
	for _, test := range []struct {
		text string
		want time.Duration // least duration of a dial
	}{
		{faultinjection.LateConnect(delay), delay},
		{"accept EMFILE\n" + faultinjection.LateConnect(delay) + "\n", delay},
		{"accept LATE 1h", 0},
	} {
		control := filepath.Join(t.TempDir(), "faults")
		if err := os.WriteFile(control, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		conn, err := faultinjection.New(control).Dial(t.Context(), "tcp", listener.Addr().String())
		if elapsed := time.Since(started); err != nil || elapsed < test.want {
			t.Errorf("%q: Dial returned %v after %v, want a connection after at least %v", test.text, err, elapsed, test.want)
			continue
		}
		_ = conn.Close() // nothing was sent on it
	}
}

// A configuration file must be read with the failure that the control file names, except at the first time.
func TestReadFailsAsControlFileSaysAfterFirstRead(t *testing.T) {
	directory := t.TempDir()
	control, file := filepath.Join(directory, "faults"), filepath.Join(directory, "config")
	const text = "0123456789"
	injector := faultinjection.New(control)
	for i, test := range []struct {
		fault, want string
		err         error
	}{
		{"read EIO", text, nil}, // the first read
		{"", text, nil},
		{"read EIO", "", syscall.EIO},
		{"read ENOENT", "", os.ErrNotExist},
		{"accept EMFILE\nread EMFILE\n", "", syscall.EMFILE},
		{"read SHORT", text[:5], nil},
		{"accept EIO", text, nil},
	} {
		for name, content := range map[string]string{control: test.fault, file: text} {
			if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		got, err := injector.ReadFile(file)
		if string(got) != test.want || !errors.Is(err, test.err) {
			t.Errorf("read %d with %q: got %q, %v; want %q, %v", i, test.fault, got, err, test.want, test.err)
		}
	}
}
