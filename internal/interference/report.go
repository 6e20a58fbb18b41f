package interference

// ReportPath is where an entry host serves a Report, on its metrics address.
const ReportPath = "/disturbances"

// Report is the evidence in the store, for operators.
type Report struct {
	// AgeMS is the age of the row in milliseconds, -1 if there is none.
	AgeMS int64 `json:"row_age_ms"`
	// SeparationOn is set if the answering host, as an owner, would place tasks apart.
	SeparationOn bool `json:"separate_disturbing_tasks"`
	// Pairs are the pairs with any evidence, the known ones first.
	Pairs []Pair `json:"pairs"`
}
