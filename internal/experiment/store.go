package experiment

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"springfield/internal/emulator/invariant"
	"springfield/internal/measure"
)

// storeLockTimeout is how long OpenStore waits for another process to close the store.
const storeLockTimeout = 2 * time.Second

// storeFileMode is the file mode of a new store.
const storeFileMode = 0o644

// ErrStoreInUse is returned when another process keeps the store open.
var ErrStoreInUse = errors.New("the store is in use by another process")

// Record is a finished run as it is stored.
type Record struct {
	Experiment string           `json:"experiment"`
	Version    string           `json:"version"`
	Form       Form             `json:"form"`
	Decider    string           `json:"decider"`
	Size       float64          `json:"size"`
	Seed       uint64           `json:"seed"`
	Scenario   string           `json:"scenario"` // digest of the scenario and the form
	Elapsed    time.Duration    `json:"elapsed_ns"`
	Result     measure.Result   `json:"result"`
	Rules      invariant.Report `json:"rules"`
}

// Store keeps finished runs in a bbolt file. The file has a bucket for each experiment, which contains a record for
// each version, decider, size and seed. The record of a run with a changed scenario replaces the earlier one.
type Store struct{ db *bbolt.DB }

// OpenStore opens or creates a store.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, storeFileMode, &bbolt.Options{Timeout: storeLockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("open %s: %w", path, ErrStoreInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("open store %s: %w", path, err)
	}
	return &Store{db: db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Put writes a record to disk and replaces an earlier one with the same key.
func (s *Store) Put(record *Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte(record.Experiment))
		if err != nil {
			return err
		}
		return bucket.Put(record.key(), value)
	})
	if err != nil {
		return fmt.Errorf("store record: %w", err)
	}
	return nil
}

// Find returns the stored record with the key and the scenario of wanted, or nil if there is none.
func (s *Store) Find(wanted *Record) (*Record, error) {
	var value []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		if bucket := tx.Bucket([]byte(wanted.Experiment)); bucket != nil {
			value = append(value, bucket.Get(wanted.key())...) // copied, because it is valid only in the transaction
		}
		return nil
	})
	if err != nil || len(value) == 0 {
		return nil, err
	}
	record, err := decodeRecord(value)
	if err != nil || record.Scenario != wanted.Scenario {
		return nil, err
	}
	return record, nil
}

// Records returns all records of an experiment, ordered by version, decider, size and seed.
func (s *Store) Records(experiment string) ([]Record, error) {
	var records []Record
	err := s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(experiment))
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(_, value []byte) error {
			record, err := decodeRecord(value)
			if err != nil {
				return err
			}
			records = append(records, *record)
			return nil
		})
	})
	return records, err
}

// Experiments returns the names of the experiments that have records, in alphabetical order.
func (s *Store) Experiments() ([]string, error) {
	var names []string
	err := s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			names = append(names, string(name))
			return nil
		})
	})
	return names, err
}

// key returns a key that is unique within the experiment and sorts by version, decider, size and seed. A zero byte ends
// the version and the decider, which contain none themselves.
func (r *Record) key() []byte {
	key := append([]byte(r.Version), 0)
	key = append(key, r.Decider...)
	key = append(key, 0)
	key = binary.BigEndian.AppendUint64(key, math.Float64bits(r.Size)) // the bits of positive numbers sort numerically
	return binary.BigEndian.AppendUint64(key, r.Seed)
}

func decodeRecord(value []byte) (*Record, error) {
	record := new(Record)
	if err := json.Unmarshal(value, record); err != nil {
		return nil, fmt.Errorf("decode stored record: %w", err)
	}
	return record, nil
}

// WriteJSONLines writes each record as JSON on a separate line.
func WriteJSONLines(w io.Writer, records []Record) error {
	encoder := json.NewEncoder(w)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return fmt.Errorf("write results: %w", err)
		}
	}
	return nil
}
