package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"springfield/internal/soak"
)

// soakRecord is the result of a run of a soak as a line of JSON.
type soakRecord struct {
	Plan           string          `json:"plan,omitempty"` // name of the plan on sockets
	Seed           uint64          `json:"seed"`
	Findings       []findingRecord `json:"findings"`
	Requests       int64           `json:"requests"`
	Attempts       int64           `json:"attempts"`
	Void           bool            `json:"void,omitempty"` // the findings are invalid because the machine was too busy
	ElapsedSeconds float64         `json:"elapsed_seconds"`
}

// findingRecord is a finding of a soakRecord.
type findingRecord struct {
	What   string `json:"what"`
	Count  int    `json:"count"`
	Detail string `json:"detail"`
}

func newSoakRecord(plan string, seed uint64, findings []soak.Finding, requests, attempts int64,
	elapsed time.Duration) soakRecord {
	record := soakRecord{
		Plan: plan, Seed: seed, Findings: []findingRecord{}, Requests: requests, Attempts: attempts,
		ElapsedSeconds: elapsed.Seconds(),
	}
	for _, finding := range findings {
		record.Findings = append(record.Findings, findingRecord(finding))
	}
	return record
}

// write writes the record as a line of JSON.
func (r soakRecord) write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// writeFindings prints the findings of a run, each with the command that repeats the run.
func writeFindings(w io.Writer, findings []soak.Finding, repeatCommand string) error {
	for _, finding := range findings {
		if _, err := fmt.Fprintf(w, "  %s\n  repeat with: %s\n", finding, repeatCommand); err != nil {
			return err
		}
	}
	return nil
}

// quoteArgument quotes an argument of a command line for a POSIX shell.
func quoteArgument(argument string) string {
	isSafe := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("/._-+=:,@", r)
	}
	if argument != "" && !strings.ContainsFunc(argument, func(r rune) bool { return !isSafe(r) }) {
		return argument
	}
	return "'" + strings.ReplaceAll(argument, "'", `'\''`) + "'"
}
