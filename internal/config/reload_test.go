package config

import (
	"bytes"
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/testkit"
)

// fileFor returns a configuration file with one class and one plan.
func fileFor(name, discovery, class string) string {
	return `{"name":"` + name + `","discovery":"` + discovery + `","settings":{"Classes":[{"Name":"` + class +
		`","Repeat":"idempotent"}],"Contracts":[{"Name":"team"}]}}`
}

// lineWriter sends each line of the log to a channel.
type lineWriter chan<- string

func (w lineWriter) Write(text []byte) (int, error) {
	w <- string(bytes.TrimSpace(text))
	return len(text), nil
}

// captureLog redirects the log to a channel until the end of the test.
func captureLog(t *testing.T) <-chan string {
	t.Helper()
	lines := make(chan string, 100)
	logger, output, flags := slog.Default(), log.Writer(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(lineWriter(lines), nil)))
	t.Cleanup(func() {
		slog.SetDefault(logger)
		log.SetOutput(output) // SetDefault has redirected package log, too
		log.SetFlags(flags)
	})
	return lines
}

// A file that is broken, half written or another deployment's leaves the last good configuration in force, with one
// line in the log. One that was just being written is applied once it is complete.
func TestUnusableFilesAreNotApplied(t *testing.T) {
	lines := captureLog(t)
	path := newFile(t, fileFor("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	signals, applied, ended := make(chan os.Signal), make(chan *Config, 1), make(chan struct{})
	go func() {
		ReloadOnSignal(ctx, current, signals, func(fresh *Config, _ time.Time) { applied <- fresh })
		close(ended)
	}()
	t.Cleanup(func() { cancel(); testkit.WaitFor(t, "the end of ReloadOnSignal", ended) })
	wantLine := func(want string) {
		t.Helper()
		if got := testkit.Receive(t, "a line with "+want, lines); !strings.Contains(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	}

	complete := fileFor("n1", "127.0.0.1:2", "lookup")
	for _, unusable := range []string{
		"", "{", complete[:len(complete)/2], `{"name":"n1"}`,
		fileFor("n2", "127.0.0.1:9", "lookup"),
		fileFor("n1", "127.0.0.1:9", "search"),
		strings.Replace(complete, "idempotent", "at_most_once", 1),
		strings.Replace(complete, "team", "pro", 1),
	} {
		writeFile(t, path, unusable)
		signals <- os.Interrupt
		wantLine(`level=WARN msg="configuration kept" err=`)
		if len(applied) != 0 {
			t.Errorf("%s: applied %+v", unusable, <-applied)
		}
	}
	writeFile(t, path, complete) // without another signal
	wantLine(`level=INFO msg="configuration reloaded" discovery=127.0.0.1:2`)
	if fresh := testkit.Receive(t, "the configuration", applied); fresh.Discovery != "127.0.0.1:2" {
		t.Errorf("applied %+v", fresh)
	}
}

// A file that cannot be used is read again for two seconds, which is logged once. Later it takes another signal, which
// begins anew.
func TestRereadsEndAfterTwoSeconds(t *testing.T) {
	path := newFile(t, fileFor("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		lines := captureLog(t)
		ctx, cancel := context.WithCancel(t.Context())
		signals, applied, ended := make(chan os.Signal), make(chan *Config, 1), make(chan struct{})
		go func() {
			ReloadOnSignal(ctx, current, signals, func(fresh *Config, _ time.Time) { applied <- fresh })
			close(ended)
		}()
		writeFile(t, path, "{")
		signals <- os.Interrupt
		time.Sleep(maxRereads*rereadInterval + rereadInterval/2)
		synctest.Wait()
		if len(lines) != 1 {
			t.Errorf("%d lines logged, want 1", len(lines))
		}
		writeFile(t, path, fileFor("n1", "127.0.0.1:2", "lookup"))
		time.Sleep(time.Minute)
		if len(applied) != 0 || len(lines) != 1 {
			t.Errorf("applied %d configurations with no signal; %d lines logged", len(applied), len(lines))
		}
		writeFile(t, path, "{")
		signals <- os.Interrupt
		synctest.Wait()
		if len(lines) != 2 {
			t.Errorf("%d lines logged, want another one", len(lines))
		}
		writeFile(t, path, fileFor("n1", "127.0.0.1:2", "lookup"))
		if fresh := <-applied; fresh.Discovery != "127.0.0.1:2" {
			t.Errorf("applied %+v", fresh)
		}
		cancel()
		<-ended
	})
}

func TestReloadRejectsFilesOfAnotherGatewayOrDeployment(t *testing.T) {
	path := newFile(t, fileFor("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	good := fileFor("n1", "127.0.0.1:2", "lookup")
	for _, test := range []struct {
		text string
		want IncompatibleError
	}{
		{fileFor("n2", "127.0.0.1:2", "lookup"), IncompatibleError{Field: "name", Current: "n1", New: "n2"}},
		{fileFor("n1", "127.0.0.1:2", "search"), IncompatibleError{Field: "class", Current: "lookup", New: "search"}},
		{strings.Replace(good, "idempotent", "at_most_once", 1), IncompatibleError{
			Field: "repeat rule of class lookup", Current: "idempotent", New: "at_most_once"}},
		{strings.Replace(good, "team", "pro", 1), IncompatibleError{Field: "plan", Current: "team", New: "pro"}},
		{strings.Replace(good, `"team"}`, `"team"},{"Name":"pro"}`, 1), IncompatibleError{Field: "plan", New: "pro"}},
		{strings.Replace(good, `"Classes":[`, `"Classes":[{"Name":"lookup","Repeat":"idempotent"},`, 1),
			IncompatibleError{Field: "class", New: "lookup"}},
	} {
		writeFile(t, path, test.text)
		_, err := current.Reload()
		var incompatible *IncompatibleError
		if !errors.As(err, &incompatible) || *incompatible != test.want || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v, want %+v", test.text, err, test.want)
		}
	}
	writeFile(t, path, `{"name":"n1"}`)
	var address *net.AddrError
	if _, err := current.Reload(); !errors.As(err, &address) {
		t.Errorf("without an address: %v", err)
	}
	writeFile(t, path, good)
	if fresh, err := current.Reload(); err != nil || fresh.Discovery != "127.0.0.1:2" {
		t.Errorf("%+v, %v", fresh, err)
	}
}

// A configuration that is complete only after rereads counts from the first signal that asked for it: the time that the
// rereads take is missing later. The next signal begins anew.
func TestReloadTellsWhenItWasAskedFor(t *testing.T) {
	path := newFile(t, fileFor("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		signals, applied, ended := make(chan os.Signal), make(chan time.Time, 1), make(chan struct{})
		go func() {
			ReloadOnSignal(ctx, current, signals, func(_ *Config, askedAt time.Time) { applied <- askedAt })
			close(ended)
		}()
		writeFile(t, path, "{")
		first := time.Now()
		signals <- os.Interrupt
		time.Sleep(maxRereads / 2 * rereadInterval)
		signals <- os.Interrupt
		time.Sleep(maxRereads / 2 * rereadInterval)
		writeFile(t, path, fileFor("n1", "127.0.0.1:2", "lookup"))
		if askedAt := <-applied; !askedAt.Equal(first) {
			t.Errorf("asked for %v after the first signal", askedAt.Sub(first))
		}
		time.Sleep(time.Minute)
		second := time.Now()
		signals <- os.Interrupt
		if askedAt := <-applied; !askedAt.Equal(second) {
			t.Errorf("then asked for %v before the signal", second.Sub(askedAt))
		}
		cancel()
		<-ended
	})
}
