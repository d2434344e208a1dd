//go:build !faultinjection

package main

import (
	"os"

	"springfield/internal/config"
	"springfield/internal/gateway"
)

// networkHooks returns hooks that replace nothing: a production build uses the plain network.
func networkHooks() gateway.NetworkHooks { return gateway.NetworkHooks{} }

// configReader returns the reader of the configuration file.
func configReader() config.FileReader { return os.ReadFile }
