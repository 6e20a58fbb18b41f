// Package hostile holds tests that play clients which keep to no limit against the
// programs of a deployment, which run as processes on loopback addresses.
package hostile
