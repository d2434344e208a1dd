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

// ErrInvalidVersion is returned for a version that cannot be part of a record's key in the store.
var ErrInvalidVersion = errors.New("the version is empty or contains a zero byte")

// Options configures the execution of an experiment.
type Options struct {
	RunFunc  RunFunc
	Version  string         // version of the program, under which results are stored
	Workers  int            // maximum number of concurrent runs; 0: as in the experiment, or one per core
	Store    *Store         // nil: results are not stored, and runs are not resumed
	Fresh    bool           // repeats runs whose records are stored already
	Progress func(Progress) // called after each run, never concurrently; nil: not called
}

// Progress describes one finished run.
type Progress struct {
	Run     Run
	Record  *Record // nil if the run failed
	Stored  bool    // the record comes from the store; the run was not repeated
	Err     error
	Done    int // runs finished so far, including this one
	Planned int
}

// Outcome is the result of the execution of an experiment.
type Outcome struct {
	Records []Record // of the finished runs, in the order of Experiment.Runs
	Stored  int      // number of Records that come from the store
	Failed  int      // runs that ended with an error
	Missing int      // runs that were not started or were interrupted
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

// Execute carries out the runs of an experiment that are not stored yet. A failed run does not stop the others; the
// errors of all runs are joined. When the context ends, the outcome contains the runs that were finished until then.
func Execute(ctx context.Context, experiment *Experiment, options Options) (Outcome, error) {
	if options.Version == "" || strings.ContainsRune(options.Version, 0) {
		return Outcome{}, ErrInvalidVersion
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

// workerCount returns the number of concurrent runs. Loopback runs measure real time and therefore run one at a time.
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
	results    []runResult // each element is written only by the worker of its run

	mu   sync.Mutex // guards done and serializes the calls of Progress
	done int
}

type runResult struct {
	record *Record
	stored bool
	err    error
}

// distribute sends the indexes of the runs to the workers until the context ends.
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
		return // an interrupted run counts as neither finished nor failed
	}
	if result.err != nil {
		result.err = fmt.Errorf("%s, size %g, seed %d: %w", run.Decider, run.Size, run.Seed, result.err)
	}
	e.results[index] = result
	e.report(run, result)
}

// result returns the stored record of a run. If there is none, it carries out the run and stores its record.
func (e *execution) result(ctx context.Context, run Run) runResult {
	digest, err := run.digest()
	if err != nil {
		return runResult{err: err}
	}
	record := &Record{Experiment: e.experiment, Version: e.options.Version, Form: run.Form, Decider: run.Decider,
		Size: run.Size, Seed: run.Seed, Scenario: digest}
	if stored, err := e.findStored(record); err != nil || stored != nil {
		return runResult{record: stored, stored: stored != nil, err: err}
	}
	started := time.Now()
	record.Result, record.Rules, err = e.options.RunFunc(ctx, run)
	if err != nil {
		return runResult{err: err}
	}
	record.Elapsed = time.Since(started)
	if e.options.Store != nil {
		err = e.options.Store.Put(record)
	}
	return runResult{record: record, err: err}
}

// findStored returns the stored record of a run, or nil if the run has to be carried out.
func (e *execution) findStored(wanted *Record) (*Record, error) {
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
