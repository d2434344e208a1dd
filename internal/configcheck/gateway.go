package configcheck

import (
	"errors"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"springfield/internal/config"
	"springfield/internal/discovery"
)

// minUsefulSockets is the lowest limit on file descriptors that does not cause a warning. A lower one leaves hardly any
// descriptors for connections.
const minUsefulSockets = 64

// maxStartMS bounds the start times of endpoints, in Unix milliseconds. It lies in the year 2109. The gateway clamps
// later start times to it.
const maxStartMS = 1 << 42

// checkNumbers reports negative numbers, which are invalid anywhere in a configuration.
func (c *checker) checkNumbers(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				c.checkNumbers(memberPath(path, jsonKey(v.Type(), field)), v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			c.checkNumbers(elementPath(path, i), v.Index(i))
		}
	case reflect.Int, reflect.Int64:
		if v.Int() < 0 {
			c.fail(path, "is %d, want 0 or more", v.Int())
		}
	case reflect.Float64:
		if v.Float() < 0 || math.IsNaN(v.Float()) {
			c.fail(path, "is %g, want 0 or more", v.Float())
		}
	}
}

// checkGateway checks all values outside the settings object.
func (c *checker) checkGateway(cfg *config.Config) {
	if cfg.Name == "" {
		c.warn("$.name", "is missing: a reload cannot detect the file of another gateway")
	}
	c.checkListen(cfg.Listen)
	c.checkRemoteAddress("$.discovery", cfg.Discovery)
	c.checkSeed(cfg)
	if sockets := cfg.Limits.Sockets; sockets > 0 && sockets < minUsefulSockets {
		c.warn("$.limits.sockets", "is %d, which allows hardly any connections: want %d or more", sockets, minUsefulSockets)
	}
	c.checkKnown(&cfg.Known, cfg.Settings.Zones)
}

func (c *checker) checkListen(address string) {
	const path = "$.listen"
	if address == "" {
		c.failMissing(path, "the address for clients, such as 127.0.0.1:8443")
		return
	}
	host, port, reason := splitAddress(address)
	switch {
	case reason != "":
		c.fail(path, "is %q: %s", address, reason)
	case port == 0:
		c.warn(path, "is %q: with port 0 the operating system selects a different port at each start", address)
	case host == "":
		c.warn(path, "is %q: without a host the gateway listens on all addresses of the machine", address)
	}
}

// checkRemoteAddress checks an address that the gateway connects to.
func (c *checker) checkRemoteAddress(path, address string) {
	if address == "" {
		c.failMissing(path, "an address such as 127.0.0.1:8500")
		return
	}
	host, port, reason := splitAddress(address)
	switch {
	case reason != "":
		c.fail(path, "is %q: %s", address, reason)
	case host == "":
		c.fail(path, "is %q: the host is missing", address)
	case port == 0:
		c.fail(path, "is %q: nothing can listen on port 0", address)
	default:
		if _, err := netip.ParseAddr(host); err != nil {
			c.warn(path, "is %q: a host name, which has to be resolved for each connection", address)
		}
	}
}

// splitAddress splits an address into host and port. If the address is invalid, the reason says why.
func splitAddress(address string) (host string, port uint64, reason string) {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 {
		return "", 0, "the port is missing"
	}
	host, digits := address[:colon], address[colon+1:]
	port, err := strconv.ParseUint(digits, 10, 16)
	if err != nil {
		return "", 0, "the port is not a number from 1 to 65535"
	}
	unbracketed, opened := strings.CutPrefix(host, "[")
	unbracketed, closed := strings.CutSuffix(unbracketed, "]")
	switch {
	case opened != closed, strings.ContainsAny(unbracketed, "[]"):
		return "", 0, "the brackets do not match"
	case strings.ContainsAny(host, " \t/@"):
		return "", 0, "the host has characters that are invalid in a host"
	case !opened && strings.Contains(host, ":"):
		return "", 0, "an IPv6 address needs brackets"
	}
	return unbracketed, port, ""
}

func (c *checker) checkSeed(cfg *config.Config) {
	const path = "$.seed"
	if cfg.Seed == "" {
		c.warn(path, "is missing: all gateways without a seed generate the same random numbers")
		return
	}
	_, err := cfg.RandomSeed()
	switch {
	case err == nil:
	case errors.Is(err, strconv.ErrRange):
		c.fail(path, "is %q, want at most 16 hexadecimal digits", cfg.Seed)
	default:
		c.fail(path, "is %q, want hexadecimal digits only", cfg.Seed)
	}
}

// checkKnown checks the endpoint list that the gateway starts with.
func (c *checker) checkKnown(list *discovery.EndpointList, zones []string) {
	const path = "$.known"
	if !c.has(path) {
		return // the gateway starts without a list and gets it from discovery
	}
	if list.Servers == nil {
		c.warn(path+".servers", "is missing: the list is ignored")
	} else if !list.Full {
		c.warn(path+".full", "is false: the gateway treats the list as incomplete until discovery has sent a full one")
	}
	indexByID := map[string]int{}
	for i := range list.Servers {
		server, serverPath := &list.Servers[i], elementPath(path+".servers", i)
		c.checkServer(server, serverPath, zones)
		if server.ID == "" {
			c.failMissing(serverPath+".id", "a name: the gateway ignores the entry")
			continue
		}
		if earlier, ok := indexByID[server.ID]; ok {
			c.fail(serverPath+".id", "is %q, which is already the id of %s", server.ID,
				elementPath(path+".servers", earlier))
			continue
		}
		indexByID[server.ID] = i
	}
}

// checkServer checks all fields of a list entry except its id.
func (c *checker) checkServer(server *discovery.Instance, path string, zones []string) {
	const removed = "removed"
	if server.State != removed {
		c.checkRemoteAddress(path+".addr", server.Addr)
	}
	switch server.State {
	case "up", "draining":
	case removed:
		c.warn(path+".state", "is %q, which is meaningful only in changes of a list", server.State)
	case "":
		c.failMissing(path+".state", `"up" or "draining"; the endpoint is treated as draining`)
	default:
		c.fail(path+".state", `is %q, want "up" or "draining"; the endpoint is treated as draining`, server.State)
	}
	if len(zones) > 0 && !slices.Contains(zones, server.Zone) {
		c.warn(path+".zone", "is %q, which is not in $.settings.Zones", server.Zone)
	}
	if c.has(path+".weight") && server.Weight == 0 {
		c.warn(path+".weight", "is 0, which is treated as 1")
	}
	if server.StartedMS > maxStartMS {
		c.warn(path+".started_ms", "is %d, which is not a plausible Unix time in milliseconds", server.StartedMS)
	}
}
