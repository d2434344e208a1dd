package loopback

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"springfield/internal/faultinjection"
)

// configVariable names the configuration of a gateway in its environment. Variables with its prefix that this process
// has are not passed on: they would precede the configuration.
const (
	configVariable = "RELAY_CONFIG"
	variablePrefix = "RELAY_"
)

// launcher starts processes on a thread of its own that lives as long as the world: the kernel ends them with that
// thread, so that they end even if this process is killed.
type launcher struct{ starts chan func() }

func newLauncher() *launcher {
	l := &launcher{starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // for good: the thread ends with this goroutine
		for start := range l.starts {
			start()
		}
	}()
	return l
}

// start starts a command.
func (l *launcher) start(command *exec.Cmd) error {
	result := make(chan error, 1)
	l.starts <- func() { result <- command.Start() }
	return <-result
}

// close ends the thread once all processes have ended.
func (l *launcher) close() { close(l.starts) }

// process is one process of a gateway, in a process group of its own. Its methods may be called by any goroutine.
type process struct {
	command *exec.Cmd
	log     *logPipe
	ended   chan struct{} // closed when the process has ended

	mu            sync.Mutex
	running       bool
	killRequested bool // it is to be killed, perhaps before it has started
}

// processPaths are the files of a gateway's process.
type processPaths struct {
	config       string
	log          string
	faultControl string // control file of builds with seams
}

// newProcess prepares a process that is killed at the latest when ctx ends.
func newProcess(ctx context.Context, program string, arguments []string, paths processPaths) (*process, error) {
	log, err := newLogPipe(paths.log)
	if err != nil {
		return nil, fmt.Errorf("open the log of a gateway: %w", err)
	}
	p := &process{log: log, ended: make(chan struct{})}
	command := exec.CommandContext(ctx, program, arguments...)
	command.Env = append(gatewayEnvironment(os.Environ()), configVariable+"="+paths.config,
		faultinjection.ControlVariable+"="+paths.faultControl)
	command.Stdout, command.Stderr = log.writer, log.writer
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Cancel = func() error { return killGroup(command.Process.Pid) }
	p.command = command
	return p, nil
}

// gatewayEnvironment returns the variables that are passed on to gateways.
func gatewayEnvironment(environment []string) []string {
	passed := make([]string, 0, len(environment))
	for _, variable := range environment {
		if !strings.HasPrefix(variable, variablePrefix) {
			passed = append(passed, variable)
		}
	}
	return passed
}

func killGroup(pid int) error { return syscall.Kill(-pid, syscall.SIGKILL) }

// run starts the process and waits until it has ended.
func (p *process) run(l *launcher) error {
	defer close(p.ended)
	defer p.log.close()
	if err := l.start(p.command); err != nil {
		return fmt.Errorf("start a gateway: %w", err)
	}
	p.mu.Lock()
	p.running = true
	if p.killRequested {
		_ = killGroup(p.command.Process.Pid) // it has not been waited for: its id is its own
	}
	p.mu.Unlock()
	err := p.command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = false
	return err
}

// kill ends the process and its group at once.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killRequested = true
	if p.running {
		_ = killGroup(p.command.Process.Pid) // fails only if it has just ended
	}
}

// signal sends a signal to the process. One that has not started or has ended gets none.
func (p *process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(signal)
}
