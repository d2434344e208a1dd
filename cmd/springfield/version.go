package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

const (
	versionDigits = 12
	develPrefix   = "devel-"
)

type versionCommand struct{}

// Run prints the version and the versions of Go and of the module.
func (*versionCommand) Run(env *environment) error {
	version, err := programVersion()
	if err != nil {
		return err
	}
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, err = fmt.Fprintf(env.stdout, "%s %s, built with %s\n", programName, version, goVersion)
	return err
}

// programVersion names the code of this program, as results of runs are kept under it: the revision that it was built
// from, or a digest of the program if that is not known or the files had been changed.
func programVersion() (string, error) {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := cleanRevision(info.Settings); revision != "" {
			return revision[:min(len(revision), versionDigits)], nil
		}
	}
	digest, err := executableDigest()
	if err != nil {
		return "", fmt.Errorf("find the version: %w", err)
	}
	return develPrefix + digest[:versionDigits], nil
}

// cleanRevision returns the revision in the build settings, or "" if it is missing or the files had been changed.
func cleanRevision(settings []debug.BuildSetting) string {
	var revision string
	for _, setting := range settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value
		case "vcs.modified":
			if setting.Value != "false" {
				return ""
			}
		}
	}
	return revision
}

func executableDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // it was only read
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
