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

// Environment variables of gateways. configVariable names the variable with the path of a gateway's configuration. The
// other variables of this process whose names start with variablePrefix are not passed on to gateways, because they
// would take precedence over the configuration.
const (
	configVariable = "RELAY_CONFIG"
	variablePrefix = "RELAY_"
)

// launcher starts processes from a dedicated thread that exists as long as the world. The kernel kills the processes
// when that thread ends (Pdeathsig), so that they end even if this process is killed.
type launcher struct{ starts chan func() }

func newLauncher() *launcher {
	l := &launcher{starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with this goroutine
		for start := range l.starts {
			start()
		}
	}()
	return l
}

// start starts a command from the launcher's thread.
func (l *launcher) start(command *exec.Cmd) error {
	result := make(chan error, 1)
	l.starts <- func() { result <- command.Start() }
	return <-result
}

// close ends the thread. It is called when all processes have ended.
func (l *launcher) close() { close(l.starts) }

// process is one process of a gateway, in its own process group. Its methods are safe for concurrent use.
type process struct {
	command *exec.Cmd
	log     *logPipe
	ended   chan struct{} // closed when the process has ended

	mu            sync.Mutex // guards the fields below
	running       bool
	killRequested bool // kill was called, perhaps before the process started
}

// processPaths holds the paths of the files of a gateway's process.
type processPaths struct {
	config       string
	log          string
	faultControl string // control file for builds with network hooks for fault injection (build tag faultinjection)
	coverage     string // directory of the counters of builds with coverage; empty if they are not written
}

// newProcess prepares a process that is killed when ctx ends, unless it has ended before.
func newProcess(ctx context.Context, program string, arguments []string, paths processPaths) (*process, error) {
	log, err := newLogPipe(paths.log)
	if err != nil {
		return nil, fmt.Errorf("open the log of a gateway: %w", err)
	}
	p := &process{log: log, ended: make(chan struct{})}
	command := exec.CommandContext(ctx, program, arguments...)
	command.Env = append(gatewayEnvironment(os.Environ()), configVariable+"="+paths.config,
		faultinjection.ControlVariable+"="+paths.faultControl)
	if paths.coverage != "" {
		command.Env = append(command.Env, faultinjection.CoverageVariable+"="+paths.coverage)
	}
	command.Stdout, command.Stderr = log.writer, log.writer
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Cancel = func() error { return killGroup(command.Process.Pid) }
	p.command = command
	return p, nil
}

// gatewayEnvironment returns the environment variables that are passed on to gateways.
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
		_ = killGroup(p.command.Process.Pid) // Wait has not been called, so no other process can have this ID
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
		_ = killGroup(p.command.Process.Pid) // an error means that the process has just ended
	}
}

// signal sends a signal to the process. It returns os.ErrProcessDone if the process has not started or has ended.
func (p *process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(signal)
}
