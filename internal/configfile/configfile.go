// Package configfile reads and writes the configuration as operators keep it in
// a YAML file, and works out the changes that lead from the configuration in
// force to that of a file.
package configfile

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/strictyaml"
)

// Parse decodes and checks a configuration file. The key of an account or a
// guarantee must be its ID or name; one that is left out is filled in. The
// error is of type strictyaml.Problems.
func Parse(name string, data []byte) (*model.ConfigDocument, error) {
	var d model.ConfigDocument
	doc, err := strictyaml.Decode(name, data, &d)
	if err != nil {
		return nil, err
	}
	c := checker{doc: doc, config: &d}
	c.accounts()
	c.guarantees()
	c.zones()
	c.weights()
	if err := c.problems.OrNil(); err != nil {
		return nil, err
	}
	return &d, nil
}

// checker collects what is wrong with a configuration file.
type checker struct {
	doc      *strictyaml.Document
	config   *model.ConfigDocument
	problems strictyaml.Problems
}

func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(key, "", format, args...))
}

// quoted returns the path of an entry of a map whose key may hold dots.
func quoted(section, key string) string { return section + ".'" + key + "'" }

func (c *checker) accounts() {
	for _, key := range sortedKeys(c.config.Accounts) {
		account := c.config.Accounts[key]
		if account.ID == "" {
			account.ID = key
			c.config.Accounts[key] = account
		}
		if account.ID != key {
			c.report(quoted("accounts", string(key)), "the account's ID is %q", account.ID)
		}
		if err := operatorapi.CheckAccount(account); err != nil {
			c.report(quoted("accounts", string(key)), "%s", err.Sentence)
		}
	}
}

func (c *checker) guarantees() {
	for _, key := range sortedKeys(c.config.Guarantees) {
		guarantee := c.config.Guarantees[key]
		if guarantee.Name == "" {
			guarantee.Name = key
			c.config.Guarantees[key] = guarantee
		}
		path := quoted("guarantees", key)
		if guarantee.Name != key {
			c.report(path, "the guarantee's name is %q", guarantee.Name)
		}
		if _, known := c.config.Accounts[guarantee.Account]; !known {
			c.report(path, "account %q is not in this file", guarantee.Account)
		}
		if err := operatorapi.CheckGuarantee(guarantee); err != nil {
			c.report(path, "%s", err.Sentence)
		}
	}
}

func (c *checker) zones() {
	for _, zone := range sortedKeys(c.config.Zones) {
		if state := c.config.Zones[zone]; state != model.ZoneIn && state != model.ZoneOut {
			c.report(quoted("zones", string(zone)), "%q is neither in nor out", state)
		}
	}
}

func (c *checker) weights() {
	w := c.config.Weights
	for _, weight := range []struct {
		key   string
		value float64
	}{
		{"completion_time", w.CompletionTime}, {"fragmentation", w.Fragmentation}, {"work_in_zone_change", w.WorkInZoneChange},
	} {
		if !(weight.value >= 0 && weight.value <= 1) {
			c.report("weights."+weight.key, "%v does not lie between 0 and 1", weight.value)
		}
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Render returns a configuration as a file that Parse accepts, with the given
// comment lines at its head.
func Render(d *model.ConfigDocument, comment ...string) ([]byte, error) {
	body, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Wrap(err, "write configuration")
	}
	var b strings.Builder
	for _, line := range comment {
		b.WriteString(strings.TrimRight("# "+line, " ") + "\n")
	}
	b.Write(body)
	return []byte(b.String()), nil
}

// Changes returns the changes that lead from the configuration in force to a
// wanted one, in an order in which each is valid after those before it. Objects
// that the wanted configuration does not have are deleted only with prune. IDs,
// operator and time are left to the caller.
func Changes(inForce, wanted *model.ConfigDocument, prune bool) []model.ConfigChange {
	p := planner{inForce: inForce}
	for _, id := range sortedKeys(wanted.Accounts) {
		account := wanted.Accounts[id]
		if current, ok := inForce.Accounts[id]; !ok || current != account {
			p.add("account/"+string(id), model.ConfigChange{Account: &account})
		}
	}
	for _, zone := range sortedKeys(wanted.Zones) {
		if current, ok := inForce.Zones[zone]; !ok || current != wanted.Zones[zone] {
			p.add("zone/"+string(zone), model.ConfigChange{Zone: wanted.Zones[zone]})
		}
	}
	if prune {
		p.prune(wanted)
	}
	for _, name := range sortedKeys(wanted.Guarantees) {
		guarantee := wanted.Guarantees[name]
		if current, ok := inForce.Guarantees[name]; !ok || !reflect.DeepEqual(current, guarantee) {
			p.add("guarantee/"+name, model.ConfigChange{Guarantee: &guarantee})
		}
	}
	if inForce.Weights != wanted.Weights {
		weights := wanted.Weights
		p.add("weights", model.ConfigChange{Weights: &weights})
	}
	if prune {
		p.pruneAccounts(wanted)
	}
	return p.changes
}

// planner collects changes with the versions of the objects that they replace.
type planner struct {
	inForce *model.ConfigDocument
	changes []model.ConfigChange
}

func (p *planner) add(object string, change model.ConfigChange) {
	change.Object = object
	change.ExpectedVersion = p.inForce.ObjectVersions[object]
	p.changes = append(p.changes, change)
}

// prune deletes guarantees and zones. Guarantees go first, so that their room
// is free for new ones.
func (p *planner) prune(wanted *model.ConfigDocument) {
	for _, name := range sortedKeys(p.inForce.Guarantees) {
		if _, kept := wanted.Guarantees[name]; !kept {
			p.add("guarantee/"+name, model.ConfigChange{Delete: true})
		}
	}
	for _, zone := range sortedKeys(p.inForce.Zones) {
		if _, kept := wanted.Zones[zone]; !kept {
			p.add("zone/"+string(zone), model.ConfigChange{Delete: true})
		}
	}
}

// pruneAccounts deletes accounts, which no guarantee names any more.
func (p *planner) pruneAccounts(wanted *model.ConfigDocument) {
	for _, id := range sortedKeys(p.inForce.Accounts) {
		if _, kept := wanted.Accounts[id]; !kept {
			p.add("account/"+string(id), model.ConfigChange{Delete: true})
		}
	}
}

// Describe says in words what a change does.
func Describe(c model.ConfigChange) string {
	switch {
	case c.Delete:
		return "delete " + c.Object
	case c.Zone != "":
		return fmt.Sprintf("%s: %s", c.Object, c.Zone)
	case c.Account != nil:
		return fmt.Sprintf("%s: weight %d, max_queued %d", c.Object, c.Account.Weight, c.Account.MaxQueued)
	case c.Guarantee != nil:
		return fmt.Sprintf("%s: %d x %s for account %s", c.Object, c.Guarantee.Count, DescribeShape(c.Guarantee.Shape), c.Guarantee.Account)
	case c.Weights != nil:
		return fmt.Sprintf("%s: completion_time %v, fragmentation %v, work_in_zone_change %v", c.Object,
			c.Weights.CompletionTime, c.Weights.Fragmentation, c.Weights.WorkInZoneChange)
	default:
		return c.Object
	}
}

// DescribeShape says a shape in words.
func DescribeShape(s model.Shape) string {
	return fmt.Sprintf("(%d tasks of %d accelerators, %d cores, %d MB; topology %s)",
		s.Tasks, s.PerTask.Accelerators, s.PerTask.Cores, s.PerTask.MemoryMB, s.Topology)
}
