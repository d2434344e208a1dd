//go:build !faultinjection

package main

import "springfield/internal/gateway"

// networkHooks returns hooks that replace nothing: a production build uses the plain network.
func networkHooks() gateway.NetworkHooks { return gateway.NetworkHooks{} }
