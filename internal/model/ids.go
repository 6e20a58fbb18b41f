// Package model holds the types that every other package shares: client
// accounts, workers, availability zones, backend servers, requests, jobs and
// the outcomes that callers and operators are given. It has no behaviour
// beyond validation and small arithmetic.
package model

import "strconv"

// ClientAccountID names a client account, the unit of guarantees and fairness.
type ClientAccountID string

// WorkerID names a worker: one machine that runs tasks.
type WorkerID string

// RackID names a rack inside an availability zone.
type RackID string

// AvailabilityZoneName names an availability zone, unique over all regions.
type AvailabilityZoneName string

// RegionName names a region, a group of availability zones with one scheduler.
type RegionName string

// BackendServerID names a backend server; its agent has the same ID.
type BackendServerID string

// EntryID names an entry host.
type EntryID string

// RequestID is a caller's request ID, a UUIDv7 in its canonical text form.
type RequestID string

// JobID names a job.
type JobID string

// TaskID names one task of a job: the job ID, a slash and the task's index.
type TaskID string

// ChangeID is an operator's identifier for one change. Sending a change again
// under the same ID has no further effect.
type ChangeID string

// Epoch is a fencing token: it grows with each new holder of a lease, and a
// receiver refuses a lower one than it has seen.
type Epoch uint64

// Incarnation tells two lives of the same process apart. It is the process's
// start time in milliseconds since the Unix epoch.
type Incarnation uint64

// ConfigVersion numbers configurations. It grows by one with each change.
type ConfigVersion uint64

// String returns the version as a decimal number.
func (v ConfigVersion) String() string { return strconv.FormatUint(uint64(v), 10) }
