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

// configText returns the text of a configuration file with one class and one plan.
func configText(name, discovery, class string) string {
	return `{"name":"` + name + `","discovery":"` + discovery + `","settings":{"Classes":[{"Name":"` + class +
		`","Repeat":"idempotent"}],"Contracts":[{"Name":"team"}]}}`
}

// lineWriter sends each line of a log to a channel.
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
		log.SetOutput(output) // slog.SetDefault has also redirected package log
		log.SetFlags(flags)
	})
	return lines
}

// A file that is invalid, incomplete or belongs to another deployment must leave the last valid configuration active,
// with one line in the log. A file whose write completes during the retries must be applied without another signal.
func TestUnusableFilesAreNotApplied(t *testing.T) {
	lines := captureLog(t)
	path := newFile(t, configText("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	signals, applied, ended := make(chan os.Signal), make(chan *Config, 1), make(chan struct{})
	go func() {
		ReloadOnSignal(ctx, current, signals, func(reloaded *Config, _ time.Time) { applied <- reloaded })
		close(ended)
	}()
	t.Cleanup(func() { cancel(); testkit.WaitFor(t, "the end of ReloadOnSignal", ended) })
	wantLine := func(want string) {
		t.Helper()
		if got := testkit.Receive(t, "a line with "+want, lines); !strings.Contains(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	}

	complete := configText("n1", "127.0.0.1:2", "lookup")
	for _, unusable := range []string{
		"", "{", complete[:len(complete)/2], `{"name":"n1"}`,
		configText("n2", "127.0.0.1:9", "lookup"),
		configText("n1", "127.0.0.1:9", "search"),
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
	writeFile(t, path, complete) // the retries must read it without another signal
	wantLine(`level=INFO msg="configuration reloaded" discovery=127.0.0.1:2`)
	if reloaded := testkit.Receive(t, "the configuration", applied); reloaded.Discovery != "127.0.0.1:2" {
		t.Errorf("applied %+v", reloaded)
	}
}

// An unusable file must be retried for two seconds and logged once. After that, only another signal may cause a reload,
// and that signal starts new retries.
func TestRetriesEndAfterTwoSeconds(t *testing.T) {
	path := newFile(t, configText("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		lines := captureLog(t)
		ctx, cancel := context.WithCancel(t.Context())
		signals, applied, ended := make(chan os.Signal), make(chan *Config, 1), make(chan struct{})
		go func() {
			ReloadOnSignal(ctx, current, signals, func(reloaded *Config, _ time.Time) { applied <- reloaded })
			close(ended)
		}()
		writeFile(t, path, "{")
		signals <- os.Interrupt
		time.Sleep(maxRetries*retryInterval + retryInterval/2)
		synctest.Wait()
		if len(lines) != 1 {
			t.Errorf("%d lines logged, want 1", len(lines))
		}
		writeFile(t, path, configText("n1", "127.0.0.1:2", "lookup"))
		time.Sleep(time.Minute)
		if len(applied) != 0 || len(lines) != 1 {
			t.Errorf("applied %d configurations without a signal; %d lines logged", len(applied), len(lines))
		}
		writeFile(t, path, "{")
		signals <- os.Interrupt
		synctest.Wait()
		if len(lines) != 2 {
			t.Errorf("%d lines logged, want 2", len(lines))
		}
		writeFile(t, path, configText("n1", "127.0.0.1:2", "lookup"))
		if reloaded := <-applied; reloaded.Discovery != "127.0.0.1:2" {
			t.Errorf("applied %+v", reloaded)
		}
		cancel()
		<-ended
	})
}

// A file with another name, class or plan must not be applied, because the gateway keeps its old settings and would
// apply them to the endpoints of another deployment.
func TestReloadRejectsFilesOfAnotherGatewayOrDeployment(t *testing.T) {
	path := newFile(t, configText("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	good := configText("n1", "127.0.0.1:2", "lookup")
	for _, test := range []struct {
		text string
		want IncompatibleError
	}{
		{configText("n2", "127.0.0.1:2", "lookup"), IncompatibleError{Field: "name", Current: "n1", New: "n2"}},
		{configText("n1", "127.0.0.1:2", "search"), IncompatibleError{Field: "class", Current: "lookup", New: "search"}},
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
	if reloaded, err := current.Reload(); err != nil || reloaded.Discovery != "127.0.0.1:2" {
		t.Errorf("%+v, %v", reloaded, err)
	}
}

// A configuration that becomes usable during the retries must carry the time of the first signal that requested it, or
// the caller would not account for the time of the retries. The next signal must be timed by itself.
func TestReloadReportsTimeOfFirstSignal(t *testing.T) {
	path := newFile(t, configText("n1", "127.0.0.1:1", "lookup"))
	current, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		signals, applied, ended := make(chan os.Signal), make(chan time.Time, 1), make(chan struct{})
		go func() {
			ReloadOnSignal(ctx, current, signals, func(_ *Config, requestedAt time.Time) { applied <- requestedAt })
			close(ended)
		}()
		writeFile(t, path, "{")
		first := time.Now()
		signals <- os.Interrupt
		time.Sleep(maxRetries / 2 * retryInterval)
		signals <- os.Interrupt
		time.Sleep(maxRetries / 2 * retryInterval)
		writeFile(t, path, configText("n1", "127.0.0.1:2", "lookup"))
		if requestedAt := <-applied; !requestedAt.Equal(first) {
			t.Errorf("the reported time is %v after the first signal", requestedAt.Sub(first))
		}
		time.Sleep(time.Minute)
		second := time.Now()
		signals <- os.Interrupt
		if requestedAt := <-applied; !requestedAt.Equal(second) {
			t.Errorf("the reported time is %v before the second signal", second.Sub(requestedAt))
		}
		cancel()
		<-ended
	})
}
