package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"springfield/internal/experiment"
	"springfield/internal/report"
)

// writeFile creates or truncates a file and calls write with a buffered writer for it.
func writeFile(path string, write func(io.Writer) error) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return &inputError{err}
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	buffered := bufio.NewWriter(file)
	if err := write(buffered); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return buffered.Flush()
}

// writePage writes a report of results to a file, as an HTML page.
func writePage(path string, results []report.NamedResult) error {
	return writeFile(path, func(w io.Writer) error { return report.WriteHTML(w, results) })
}

// writeResults writes records to a file as JSON, one record on each line.
func writeResults(path string, records []experiment.Record) error {
	return writeFile(path, func(w io.Writer) error { return experiment.WriteJSONLines(w, records) })
}

// readResults reads the records of a file that writeResults wrote.
func readResults(path string) (records []experiment.Record, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &inputError{err}
	}
	defer func() { _ = file.Close() }() // the file was only read, so an error loses nothing
	decoder := json.NewDecoder(bufio.NewReader(file))
	for {
		var record experiment.Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, inputErrorf("%s: record %d: %w", path, len(records)+1, err)
		}
		records = append(records, record)
	}
}

// openStore opens a store of results. A store that does not exist is an input error unless create is set.
func openStore(path string, create bool) (*experiment.Store, error) {
	if !create {
		if _, err := os.Stat(path); err != nil {
			return nil, inputErrorf("open the store of results: %w", err)
		}
	}
	store, err := experiment.OpenStore(path)
	if err != nil {
		return nil, &inputError{err}
	}
	return store, nil
}
