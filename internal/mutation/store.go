package mutation

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Finding is a failure that a soak has found.
type Finding struct {
	What   string `json:"what"` // oracle that found the failure
	Count  int    `json:"count"`
	Detail string `json:"detail"`
}

// Result is the result of the soak of one mutant.
type Result struct {
	Key              string   `json:"key"` // see Key
	Mutant           string   `json:"mutant"`
	Guard            string   `json:"guard"`
	Change           string   `json:"change"`
	World            World    `json:"world"`
	Seeds            Seeds    `json:"seeds"`
	Parallel         int      `json:"parallel"`                     // number of concurrent runs
	Finding          *Finding `json:"finding,omitempty"`            // first finding; nil if there is none
	FindingSeed      uint64   `json:"finding_seed,omitempty"`       // seed of the run with the first finding
	RunsUntilFinding int      `json:"runs_until_finding,omitempty"` // runs that finished, up to the first with a finding
	RunsWithFinding  int      `json:"runs_with_findings,omitempty"` // more than one only in the control
	Runs             int      `json:"runs"`                         // all runs that finished
	VoidRuns         int      `json:"void_runs,omitempty"`          // runs with invalid findings, on a busy machine
	RunsStarted      int      `json:"runs_started"`                 // Runs and those cancelled by the first finding
	ElapsedSeconds   float64  `json:"elapsed_seconds"`              // time of the soak without the build
}

// Store holds results in a file of JSON lines. A result is on disk once Add has returned.
type Store struct {
	file    *os.File
	results map[string]Result
}

// OpenStore opens or creates a store. A last line without an end, as an interrupted Add leaves it, is removed from the
// file; discarded is its length in bytes.
func OpenStore(path string) (store *Store, discarded int, err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, 0, err
	}
	store = &Store{file: file, results: map[string]Result{}}
	discarded, err = store.read(path)
	if err != nil {
		return nil, 0, errors.Join(err, file.Close())
	}
	return store, discarded, nil
}

// read reads the results of the file and removes an incomplete last line.
func (s *Store) read(path string) (discarded int, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	complete := bytes.LastIndexByte(text, '\n') + 1
	number := 0
	for line := range bytes.Lines(text[:complete]) {
		number++
		var result Result
		if err := json.Unmarshal(line, &result); err != nil {
			return 0, fmt.Errorf("%s:%d: not a result: %w", path, number, err)
		}
		s.results[result.Key] = result
	}
	discarded = len(text) - complete
	if discarded == 0 {
		return 0, nil
	}
	return discarded, errors.Join(s.file.Truncate(int64(complete)), s.file.Sync())
}

// Result returns the result that is stored under a key.
func (s *Store) Result(key string) (Result, bool) {
	result, ok := s.results[key]
	return result, ok
}

// Add appends a result to the file and writes it to disk.
func (s *Store) Add(result Result) error {
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(append(line, '\n')); err != nil {
		return err
	}
	s.results[result.Key] = result
	return s.file.Sync()
}

// Close closes the file.
func (s *Store) Close() error { return s.file.Close() }
