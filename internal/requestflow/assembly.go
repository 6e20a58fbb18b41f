package requestflow

import "dragonflyyard/internal/wire"

// answerAssembly reassembles an answer from its numbered parts. Its memory is
// bounded by the parts received, not by the number of parts they announce.
type answerAssembly struct {
	parts map[int][]byte
	// count is the announced number of parts, zero before the first part arrives.
	count int
	// size is the length of the received parts in bytes, total the announced length
	// of the whole answer.
	size   int
	total  int
	status int
	failed bool
}

// add stores a part; parts may arrive in any order and more than once. It returns
// true once the answer is complete. A part with invalid numbers is ignored, a part
// whose header differs from the earlier ones restarts the assembly, and parts that
// do not add up to the announced length are discarded.
func (a *answerAssembly) add(m *wire.AnswerPart, maxBytes int) bool {
	if m.Parts < 1 || m.Part < 0 || m.Part >= m.Parts || m.Total < 0 || m.Total > maxBytes {
		return false
	}
	if m.Parts > 1+m.Total {
		return false
	}
	if !a.matches(m) {
		*a = answerAssembly{
			parts: map[int][]byte{}, count: m.Parts, total: m.Total, status: m.Status, failed: m.Failed,
		}
	}
	if _, duplicate := a.parts[m.Part]; !duplicate {
		a.parts[m.Part] = append([]byte{}, m.Body...)
		a.size += len(m.Body)
	}
	isComplete := len(a.parts) == a.count
	if a.size > a.total || isComplete && a.size != a.total {
		*a = answerAssembly{}
		return false
	}
	return isComplete
}

// matches reports whether a part has the same header as the earlier ones.
func (a *answerAssembly) matches(m *wire.AnswerPart) bool {
	return a.count == m.Parts && a.total == m.Total && a.status == m.Status && a.failed == m.Failed
}

// body returns the complete answer, after add has returned true.
func (a *answerAssembly) body() []byte {
	if a.count == 1 {
		return a.parts[0]
	}
	body := make([]byte, 0, a.total)
	for i := range a.count {
		body = append(body, a.parts[i]...)
	}
	return body
}
