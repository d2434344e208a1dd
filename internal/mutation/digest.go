package mutation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// sourceDirectories lists the directories of the source tree whose Go files determine the result of a soak.
var sourceDirectories = []string{"policy", "internal", "cmd"}

// Seeds is an inclusive range of seeds.
type Seeds struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Count returns the number of seeds.
func (s Seeds) Count() uint64 { return s.Last - s.First + 1 }

// Key returns the key under which the result of a mutant is stored. It is a digest of the mutant, of the seeds and of
// the Go files and go.mod of the source tree at root.
func Key(root string, mutant *Mutant, seeds Seeds) (string, error) {
	digest := sha256.New()
	encoder := json.NewEncoder(digest)
	if err := encoder.Encode(mutant); err != nil {
		return "", err
	}
	if err := encoder.Encode(seeds); err != nil {
		return "", err
	}
	if err := addFile(digest, root, goModuleFile); err != nil {
		return "", err
	}
	for _, directory := range sourceDirectories {
		if err := addGoFiles(digest, root, directory); err != nil {
			return "", err
		}
	}
	return hex.EncodeToString(digest.Sum(nil)), nil
}

// addGoFiles adds the Go files under a directory of the source tree, in lexical order.
func addGoFiles(digest hash.Hash, root, directory string) error {
	return fs.WalkDir(os.DirFS(root), directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		return addFile(digest, root, path)
	})
}

// addFile adds the path, length and content of a file, so that no other list of files adds the same bytes.
func addFile(digest hash.Hash, root, path string) error {
	text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(path)))
	if err != nil {
		return err
	}
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(digest, "%q %d\n", path, len(text))
	_, _ = digest.Write(text)
	return nil
}
