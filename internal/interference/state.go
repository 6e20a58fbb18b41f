package interference

import (
	"math"

	"github.com/cockroachdb/errors"
)

// MaxStateBytes bounds the encoding of a State.
const MaxStateBytes = 8 << 10

// State is the evidence of a model as it is stored.
type State struct {
	Kinds []KindState `codec:"k,omitempty"`
}

// KindState is the stored evidence on one kind as a victim. Its neighbours are numbered as
// the kinds of the State; Products holds the pairs of neighbours up to the number of kinds,
// row by row.
type KindState struct {
	Name     string    `codec:"n"`
	AsOfMS   int64     `codec:"a"`
	Products []float32 `codec:"p,omitempty"`
	Rates    []float32 `codec:"r,omitempty"`
	Runs     []float32 `codec:"c,omitempty"`
	Squares  float32   `codec:"q,omitempty"`
	Freedom  float32   `codec:"f,omitempty"`
	// Known is the set of neighbours that are known to disturb the kind.
	Known Set `codec:"d,omitempty"`
}

// State returns the evidence to store. Kinds without evidence on either side are left out,
// so that it does not change while nothing is learned.
func (m *Model) State() State {
	var used []int
	for i := range m.kinds {
		if m.kinds[i].name != "" && m.hasEvidence(i) {
			used = append(used, i)
		}
	}
	var s State
	for _, victim := range used {
		s.Kinds = append(s.Kinds, m.kinds[victim].state(used))
	}
	return s
}

func (m *Model) hasEvidence(index int) bool {
	if m.kinds[index].freedom > 0 {
		return true
	}
	for i := range m.kinds {
		if m.kinds[i].runs[index] > 0 {
			return true
		}
	}
	return false
}

func (k *kind) state(used []int) KindState {
	s := KindState{Name: k.name, AsOfMS: k.asOfMS}
	if k.freedom == 0 {
		return s
	}
	s.Squares, s.Freedom = float32(k.squares), float32(k.freedom)
	for at, i := range used {
		s.Rates, s.Runs = append(s.Rates, float32(k.rates[i])), append(s.Runs, float32(k.runs[i]))
		for _, j := range used[:at+1] {
			s.Products = append(s.Products, float32(k.products[cell(i, j)]))
		}
		if k.effects[i].known {
			s.Known = s.Known.With(at)
		}
	}
	return s
}

// ErrState is the error of a state that no model wrote.
var ErrState = errors.New("malformed evidence of interference")

// Restore returns a model with stored evidence. It returns ErrState, and no model, if the
// state is malformed.
func Restore(nowMS int64, s State) (*Model, error) {
	if len(s.Kinds) > MaxKinds {
		return nil, errors.Wrapf(ErrState, "%d kinds", len(s.Kinds))
	}
	m := New()
	for i := range s.Kinds {
		stored := &s.Kinds[i]
		if _, twice := m.indexes[stored.Name]; twice || stored.Name == "" || len(stored.Name) > maxKindBytes {
			return nil, errors.Wrapf(ErrState, "kind %q", stored.Name)
		}
		m.assign(i, stored.Name, nowMS)
		if err := m.kinds[i].restore(nowMS, stored, len(s.Kinds)); err != nil {
			return nil, err
		}
	}
	m.countKnown()
	// Traces of runs that were observed before refer to the indexes of another model.
	m.generation = 1
	return m, nil
}

func (k *kind) restore(nowMS int64, s *KindState, kinds int) error {
	if s.Freedom == 0 {
		return nil
	}
	if len(s.Rates) != kinds || len(s.Runs) != kinds || len(s.Products) != kinds*(kinds+1)/2 {
		return errors.Wrapf(ErrState, "kind %q has %d rates, %d runs and %d products", s.Name, len(s.Rates), len(s.Runs), len(s.Products))
	}
	k.asOfMS = min(max(s.AsOfMS, 1), nowMS)
	k.squares, k.freedom = float64(s.Squares), float64(s.Freedom)
	total := k.squares + k.freedom
	for i := range kinds {
		k.rates[i], k.runs[i] = float64(s.Rates[i]), float64(s.Runs[i])
		total += k.rates[i] + k.runs[i]
		if s.Products[cell(i, i)] < 0 || k.runs[i] < 0 {
			return errors.Wrapf(ErrState, "kind %q has a negative weight", s.Name)
		}
		for j := range i + 1 {
			k.products[cell(i, j)] = float64(s.Products[cell(i, j)])
			total += k.products[cell(i, j)]
		}
	}
	if math.IsNaN(total) || math.IsInf(total, 0) || k.squares < 0 || k.freedom < 0 {
		return errors.Wrapf(ErrState, "kind %q has a figure out of range", s.Name)
	}
	k.solve()
	for i := range k.effects {
		k.effects[i].known = s.Known.has(i) && k.effects[i].slowdown > math.Log(forgetFactor)
	}
	return nil
}
