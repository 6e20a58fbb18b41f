package queueconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Change is a difference between two configurations.
type Change struct {
	Object Object `json:"object"`
	Name   string `json:"name"`
	// Before and After say in words what the entry holds; empty if it is added or removed.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the differences from the configuration in force to another, by object and
// name. Keys of accounts are counted, never shown.
func Diff(inForce, next *Config) []Change {
	out := slices.Concat(
		diff(ObjectQueue, inForce.Queues, next.Queues, func(q Queue) string { return q.Name }, describeQueue),
		diff(ObjectService, inForce.Services, next.Services, func(s string) string { return s }, func(string) string { return "declared" }),
		diff(ObjectAccount, inForce.Accounts, next.Accounts, func(a Account) string { return string(a.ID) }, func(a Account) string {
			return fmt.Sprintf("%d accelerators guaranteed", a.GuaranteedAccelerators)
		}),
		diffKeys(inForce, next),
	)
	if inForce.MaxBodyBytes != next.MaxBodyBytes {
		out = append(out, Change{ObjectLimits, string(FieldBodyBytes), fmt.Sprint(inForce.MaxBodyBytes), fmt.Sprint(next.MaxBodyBytes)})
	}
	return out
}

func describeQueue(q Queue) string {
	return fmt.Sprintf("host %s, path %s, service %s, priority %d, %d attempts, objective %v times the estimate plus %v, anonymous %v, advice %v",
		q.Host, q.PathPrefix, q.Service, q.Priority, q.MaxAttempts, q.SlackFactor, q.TargetDuration, q.Anonymous, q.NeedsAdvice)
}

func diff[T any](object Object, before, after []T, name func(T) string, describe func(T) string) []Change {
	described := func(entries []T) map[string]string {
		out := map[string]string{}
		for _, entry := range entries {
			out[name(entry)] = describe(entry)
		}
		return out
	}
	old, wanted := described(before), described(after)
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(wanted)))
	slices.Sort(names)
	var out []Change
	for _, n := range slices.Compact(names) {
		if old[n] != wanted[n] {
			out = append(out, Change{object, n, old[n], wanted[n]})
		}
	}
	return out
}

// diffKeys returns the accounts whose keys change.
func diffKeys(inForce, next *Config) []Change {
	added, removed := map[string]int{}, map[string]int{}
	for key, id := range next.accountByKey {
		if before, known := inForce.AccountOf(key); !known || before != id {
			added[string(id)]++
		}
	}
	for key, id := range inForce.accountByKey {
		if after, known := next.AccountOf(key); !known || after != id {
			removed[string(id)]++
		}
	}
	names := slices.Concat(slices.Collect(maps.Keys(added)), slices.Collect(maps.Keys(removed)))
	slices.SortFunc(names, cmp.Compare[string])
	var out []Change
	for _, n := range slices.Compact(names) {
		out = append(out, Change{ObjectAccount, n, fmt.Sprintf("%d keys removed", removed[n]), fmt.Sprintf("%d keys added", added[n])})
	}
	return out
}
