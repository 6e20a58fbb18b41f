package faultmatrix

import "testing"

// Whole rows that cannot meet a chart. A place with a cell of its own keeps it.
func init() {
	for chart, promise := range map[string]Promise{
		"request": PromiseRequestOutcome, "backend": PromiseGracefulStop, "connection": PromiseRequestOutcome,
		"task": PromiseGang, "zone": PromiseZoneOut, "configchange": PromiseConfiguration,
	} {
		registerImpossibleRows(chart, promise, "no step of this chart reads or writes the object store", ObjectStoreDown)
	}
	for chart, promise := range map[string]Promise{
		"request": PromiseRequestOutcome, "backend": PromiseGracefulStop, "connection": PromiseRequestOutcome,
		"task": PromiseGang, "lease": PromiseOwnership,
	} {
		registerImpossibleRows(chart, promise, "no step of this chart is an operator's change", OperatorsRacing)
	}
	for chart, promise := range map[string]Promise{"backend": PromiseGracefulStop, "connection": PromiseRequestOutcome} {
		registerImpossibleRows(chart, promise, "no step of this chart is taken under a lease", LeaseLapsed)
		registerImpossibleRows(chart, promise, "the scheduler's owner takes no part in a step of this chart",
			OwnerKilled, OwnerDeposed)
		registerImpossibleRows(chart, promise, "no step of this chart calls the table service",
			TableDown, TableSlow, TableAnswerLost)
	}
}

func TestBuildersRegisterEachPair(t *testing.T) {
	kept := registered
	defer func() { registered = kept }()
	registered = nil
	var driven []string
	run := func(_ *testing.T, s step, f Fault) { driven = append(driven, s.from+" "+string(f)) }
	steps := stepsWithout("zone", allSteps("zone")[2:]...)
	registerEach("zone", []Promise{PromiseZoneOut}, steps, []Fault{TableDown, TableSlow}, run)
	registerImpossible("zone", PromiseZoneOut, "reason", steps, MessageLost)
	if len(registered) != 6 || registered[4].Impossible != "reason" {
		t.Fatalf("got %+v", registered)
	}
	for _, c := range registered[:4] {
		c.Run(t)
	}
	want := []string{"in table_down", "in table_slow", "leaving table_down", "leaving table_slow"}
	for i := range want {
		if driven[i] != want[i] {
			t.Errorf("got %q, want %q", driven, want)
		}
	}
}
