//go:build !faultinjection

package main

import "springfield/internal/gateway"

// seams returns what this build replaces: nothing.
func seams() gateway.Seams { return gateway.Seams{} }
