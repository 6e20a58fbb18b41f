package queueconfig

import (
	"fmt"
	"slices"
	"strings"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// Object is the kind of entry that a Finding or a Change is about.
type Object string

// Objects of a configuration.
const (
	ObjectQueue   Object = "queue"
	ObjectAccount Object = "account"
	ObjectService Object = "service"
	ObjectLimits  Object = "limits"
)

// Field is a field of an entry, in the words of this package; empty for the whole entry.
type Field string

// Fields that findings name.
const (
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPathPrefix  Field = "path prefix"
	FieldService     Field = "service"
	FieldPriority    Field = "priority"
	FieldMaxAttempts Field = "max attempts"
	FieldObjective   Field = "objective"
	FieldAnonymous   Field = "anonymous"
	FieldKeys        Field = "keys"
	FieldGuaranteed  Field = "guaranteed"
	FieldBodyBytes   Field = "body bytes"
)

// Finding is something that is wrong with a configuration.
type Finding struct {
	Object Object
	// Index is the position of the entry among those of its kind.
	Index int
	Field Field
	// Wrong is set for errors and for entries that can never take effect. Other findings
	// may be meant so.
	Wrong bool
	// Message says in a sentence what is wrong, without keys of accounts.
	Message string
}

// Capacity is what the workers of a deployment hold; zero values are not known.
type Capacity struct{ Accelerators int }

// Check returns what is wrong with a configuration: errors, entries that can never match,
// and limits that contradict each other.
func Check(c *Config, capacity Capacity) []Finding {
	k := &check{config: c}
	k.queues()
	k.accounts()
	k.services()
	k.limits(capacity)
	return k.findings
}

type check struct {
	config   *Config
	findings []Finding
}

func (k *check) report(wrong bool, object Object, index int, field Field, format string, args ...any) {
	k.findings = append(k.findings, Finding{object, index, field, wrong, fmt.Sprintf(format, args...)})
}

func (k *check) queues() {
	names := map[string]bool{}
	for i := range k.config.Queues {
		q := &k.config.Queues[i]
		wrong := func(bad bool, field Field, format string, args ...any) {
			if bad {
				k.report(true, ObjectQueue, i, field, format, args...)
			}
		}
		wrong(q.Name == "", FieldName, "has no name")
		wrong(q.Name != "" && names[q.Name], FieldName, "%q is the name of an earlier queue", q.Name)
		wrong(q.Host == "", FieldHost, "has no host, so that no call reaches it")
		wrong(!strings.HasPrefix(q.PathPrefix, "/"), FieldPathPrefix, "%q does not begin with a slash, so that no call reaches it", q.PathPrefix)
		wrong(q.Priority < 0, FieldPriority, "%d is negative", q.Priority)
		wrong(q.MaxAttempts < 0, FieldMaxAttempts, "%d is negative", q.MaxAttempts)
		wrong(q.SlackFactor < 0 || q.TargetDuration < 0, FieldObjective, "is negative")
		names[q.Name] = true
		k.queueService(i)
		k.queueObjective(i)
		k.queuePath(i)
	}
}

func (k *check) queueService(i int) {
	q := &k.config.Queues[i]
	if q.Service == "" || (len(k.config.Services) > 0 && !slices.Contains(k.config.Services, q.Service)) {
		k.report(true, ObjectQueue, i, FieldService, "service %q has no entry, so that no worker runs the queue's jobs", q.Service)
	}
}

func (k *check) queueObjective(i int) {
	if q := &k.config.Queues[i]; q.SlackFactor >= 0 && q.SlackFactor < 1 && q.TargetDuration == 0 {
		k.report(false, ObjectQueue, i, FieldObjective, "jobs are late even when they start at once and take what was estimated")
	}
}

// queuePath reports a queue that an earlier one hides, or that takes calls of another one.
func (k *check) queuePath(i int) {
	q := &k.config.Queues[i]
	for j := range k.config.Queues {
		other := &k.config.Queues[j]
		switch {
		case i == j || other.Host != q.Host:
		case other.PathPrefix == q.PathPrefix && j < i:
			k.report(true, ObjectQueue, i, FieldPathPrefix, "never matches: queue %q has the same host and path prefix and comes first", other.Name)
		case other.PathPrefix != q.PathPrefix && strings.HasPrefix(q.PathPrefix, other.PathPrefix):
			k.report(false, ObjectQueue, i, FieldPathPrefix, "takes calls out of the path of queue %q", other.Name)
		}
	}
}

func (k *check) accounts() {
	ids := map[model.ClientAccountID]bool{}
	owner := map[string]int{}
	for i := range k.config.Accounts {
		a := &k.config.Accounts[i]
		if a.ID == "" {
			k.report(true, ObjectAccount, i, FieldName, "has no name")
		} else if ids[a.ID] {
			k.report(true, ObjectAccount, i, FieldName, "%q is the name of an earlier account", a.ID)
		}
		ids[a.ID] = true
		if len(a.Keys) == 0 {
			k.report(false, ObjectAccount, i, FieldKeys, "has no key, so that no call is made for it")
		}
		for _, key := range a.Keys {
			first, taken := owner[key]
			switch {
			case key == "":
				k.report(true, ObjectAccount, i, FieldKeys, "a key is empty")
			case taken && first == i:
				k.report(false, ObjectAccount, i, FieldKeys, "a key is listed twice")
			case taken:
				k.report(true, ObjectAccount, first, FieldKeys, "a key never matches: account %q has it, too, and comes later", a.ID)
			}
			owner[key] = i
		}
	}
	if len(owner) > 0 && len(k.config.Queues) > 0 && !slices.ContainsFunc(k.config.Queues, func(q Queue) bool { return !q.Anonymous }) {
		k.report(false, ObjectQueue, 0, FieldAnonymous, "all queues take calls without a key, so that no key has an effect")
	}
}

func (k *check) services() {
	names := map[string]bool{}
	for i, service := range k.config.Services {
		if names[service] {
			k.report(true, ObjectService, i, FieldName, "%q is the name of an earlier service", service)
		}
		names[service] = true
		if !slices.ContainsFunc(k.config.Queues, func(q Queue) bool { return q.Service == service }) {
			k.report(false, ObjectService, i, "", "no queue names %q, so that its workers stay idle", service)
		}
	}
}

func (k *check) limits(capacity Capacity) {
	sum, largest := 0, 0
	for i := range k.config.Accounts {
		g := k.config.Accounts[i].GuaranteedAccelerators
		if g < 0 {
			k.report(true, ObjectAccount, i, FieldGuaranteed, "%d is negative", g)
			continue
		}
		if sum += g; g > k.config.Accounts[largest].GuaranteedAccelerators {
			largest = i
		}
	}
	if capacity.Accelerators > 0 && sum > capacity.Accelerators {
		k.report(true, ObjectAccount, largest, FieldGuaranteed, "guarantees add up to %d accelerators, the workers have %d; this one is the largest", sum, capacity.Accelerators)
	}
	if sum > 0 && len(k.config.Queues) > 0 && !slices.ContainsFunc(k.config.Queues, func(q Queue) bool { return q.Priority == 0 }) {
		k.report(false, ObjectAccount, largest, FieldGuaranteed, "no queue has priority 0, so that no job can claim a guarantee")
	}
	if most := k.config.MaxBodyBytes; most > 0 && most < workload.MaxSpecBytes {
		k.report(false, ObjectLimits, 0, FieldBodyBytes, "%d is less than a job's spec may have (%d)", most, workload.MaxSpecBytes)
	}
}
