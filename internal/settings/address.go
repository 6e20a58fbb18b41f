package settings

import (
	"fmt"
	"net/netip"
)

// Forms of an address that the settings allow.
const (
	addressForm     = "IP:port with a port of 1 to 65535"
	hostAddressForm = "IP:port of one host, with a port of 1 to 65535"
)

// address checks an address that must be given. Processes tell each other the
// addresses that they listen on, so that one that stands for all addresses of
// a host, or for several hosts, is of no use.
func (c *checker) address(key, value string) {
	if value == "" {
		c.report(key, addressForm, "the address is missing")
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || parsed.Port() == 0:
		c.report(key, addressForm, "%q is not an address", value)
	case !isOneHost(parsed.Addr()):
		c.report(key, hostAddressForm, "%q names no host, and other processes are told this address", value)
	}
}

// isOneHost reports whether another process can reach one host at an address.
func isOneHost(address netip.Addr) bool {
	address = address.Unmap()
	return !address.IsUnspecified() && !address.IsMulticast()
}

// host checks the IP address of a host.
func (c *checker) host(key, value string) {
	parsed, err := netip.ParseAddr(value)
	switch {
	case err != nil:
		c.report(key, "an IP address", "%q is not an IP address", value)
	case !isOneHost(parsed):
		c.report(key, "an IP address", "%q is not the IP address of one host", value)
	}
}

// addresses checks a list of addresses without repetitions.
func (c *checker) addresses(key string, values []string, low, high int) {
	if len(values) < low || len(values) > high {
		c.report(key, fmt.Sprintf("%d to %d addresses", low, high), "%d addresses are given", len(values))
	}
	seen := map[string]bool{}
	for i, value := range values {
		item := fmt.Sprintf("%s[%d]", key, i)
		c.address(item, value)
		if seen[value] {
			c.report(item, "", "address %q is listed twice", value)
		}
		seen[value] = true
	}
}

// distinct checks that no two of the given keys hold the same address.
func (c *checker) distinct(keys, values []string) {
	seen := map[string]string{}
	for i, value := range values {
		if other, twice := seen[value]; twice && value != "" {
			c.report(keys[i], "", "address %q is also that of %s", value, other)
		}
		seen[value] = keys[i]
	}
}
