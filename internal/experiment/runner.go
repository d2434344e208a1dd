package experiment

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"
)

// ErrBadVersion is returned for a version that cannot name records.
var ErrBadVersion = errors.New("the version is empty or holds a zero byte")

// Options say how an experiment is run.
type Options struct {
	World    World
	Version  string         // of the program, under which results are kept
	Workers  int            // runs at once, at most; 0: as the experiment says, else one for each core
	Store    *Store         // nil: results are not kept, and nothing resumes
	Fresh    bool           // also runs what the store holds already
	Progress func(Progress) // nil, or called after each run, one call at a time
}

// Progress tells of one finished run.
type Progress struct {
	Run     Run
	Record  *Record // nil if the run failed
	Stored  bool    // the store held it; it has not been run again
	Err     error
	Done    int // runs finished so far, this one among them
	Planned int
}

// Outcome is what running an experiment has brought.
type Outcome struct {
	Records []Record // of the finished runs, in the order of Experiment.Runs
	Stored  int      // how many of them the store held already
	Failed  int      // runs that ended with an error
	Missing int      // runs that were not begun, or were interrupted
}

// RulesBroken returns the records in which a rule was broken.
func (o *Outcome) RulesBroken() []Record {
	var broken []Record
	for _, record := range o.Records {
		if !record.Rules.Passed() {
			broken = append(broken, record)
		}
	}
	return broken
}

// Execute carries out the runs of an experiment that the store does not hold yet. A run that fails does not stop the
// others; the errors of all are joined. When the context ends, the outcome tells what was finished until then.
func Execute(ctx context.Context, experiment *Experiment, options Options) (Outcome, error) {
	if options.Version == "" || strings.ContainsRune(options.Version, 0) {
		return Outcome{}, ErrBadVersion
	}
	runs := experiment.Runs()
	e := &execution{options: options, experiment: experiment.Name, runs: runs, results: make([]runResult, len(runs))}
	next := make(chan int)
	var workers sync.WaitGroup
	for range workerCount(experiment, options, len(runs)) {
		workers.Go(func() {
			for index := range next {
				e.execute(ctx, index)
			}
		})
	}
	e.distribute(ctx, next)
	workers.Wait()
	return e.outcome(ctx)
}

// workerCount returns how many runs go on at once. Loopback runs measure real time and get the machine to themselves.
func workerCount(experiment *Experiment, options Options, runs int) int {
	if experiment.Form == FormLoopback {
		return 1
	}
	workers := options.Workers
	if workers <= 0 {
		workers = experiment.Workers
	}
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	return min(workers, runs)
}

// execution is the state of one call of Execute.
type execution struct {
	options    Options
	experiment string
	runs       []Run
	results    []runResult // each is written by the worker that has its run

	mu   sync.Mutex // guards done, and makes calls of Progress one at a time
	done int
}

type runResult struct {
	record *Record
	stored bool
	err    error
}

func (e *execution) distribute(ctx context.Context, next chan<- int) {
	defer close(next)
	for index := range e.runs {
		select {
		case next <- index:
		case <-ctx.Done():
			return
		}
	}
}

func (e *execution) execute(ctx context.Context, index int) {
	if ctx.Err() != nil {
		return
	}
	run := e.runs[index]
	result := e.result(ctx, run)
	if result.err != nil && ctx.Err() != nil {
		return // interrupted: it is neither finished nor failed
	}
	if result.err != nil {
		result.err = fmt.Errorf("%s, size %g, seed %d: %w", run.Decider, run.Size, run.Seed, result.err)
	}
	e.results[index] = result
	e.report(run, result)
}

// result returns the record of a run from the store, or else carries the run out and stores it.
func (e *execution) result(ctx context.Context, run Run) runResult {
	digest, err := run.digest()
	if err != nil {
		return runResult{err: err}
	}
	record := &Record{Experiment: e.experiment, Version: e.options.Version, Form: run.Form, Decider: run.Decider,
		Size: run.Size, Seed: run.Seed, Scenario: digest}
	if stored, err := e.find(record); err != nil || stored != nil {
		return runResult{record: stored, stored: stored != nil, err: err}
	}
	began := time.Now()
	record.Result, record.Rules, err = e.options.World(ctx, run)
	if err != nil {
		return runResult{err: err}
	}
	record.Elapsed = time.Since(began)
	if e.options.Store != nil {
		err = e.options.Store.Put(record)
	}
	return runResult{record: record, err: err}
}

// find returns the stored record of a run, or nil if the run has to be made.
func (e *execution) find(wanted *Record) (*Record, error) {
	if e.options.Store == nil || e.options.Fresh {
		return nil, nil
	}
	return e.options.Store.Find(wanted)
}

func (e *execution) report(run Run, result runResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done++
	if e.options.Progress == nil {
		return
	}
	e.options.Progress(Progress{Run: run, Record: result.record, Stored: result.stored, Err: result.err,
		Done: e.done, Planned: len(e.runs)})
}

func (e *execution) outcome(ctx context.Context) (Outcome, error) {
	var outcome Outcome
	var errs []error
	for _, result := range e.results {
		switch {
		case result.err != nil:
			outcome.Failed++
			errs = append(errs, result.err)
		case result.record == nil:
			outcome.Missing++
		default:
			outcome.Records = append(outcome.Records, *result.record)
		}
		if result.stored {
			outcome.Stored++
		}
	}
	if outcome.Missing > 0 {
		errs = append(errs, fmt.Errorf("%d of %d runs not finished: %w", outcome.Missing, len(e.runs), ctx.Err()))
	}
	return outcome, errors.Join(errs...)
}
