package requestflow

import "dragonflyyard/internal/wire"

// answerAssembly joins the numbered parts of one answer. It holds no more than
// the parts that were received, whatever number of parts they announce.
type answerAssembly struct {
	parts map[int][]byte
	// count is the announced number of parts, zero before the first one.
	count int
	// size is the length of the received parts, total that of the whole answer.
	size   int
	total  int
	status int
	failed bool
}

// add takes a part in any order. It returns true once the answer is whole. A
// part that contradicts the earlier ones starts the assembly anew.
func (a *answerAssembly) add(m *wire.AnswerPart, maxBytes int) bool {
	if m.Parts < 1 || m.Part < 0 || m.Part >= m.Parts || m.Total < 0 || m.Total > maxBytes {
		return false
	}
	if m.Parts > 1+m.Total {
		return false
	}
	if !a.continues(m) {
		*a = answerAssembly{
			parts: map[int][]byte{}, count: m.Parts, total: m.Total, status: m.Status, failed: m.Failed,
		}
	}
	if _, twice := a.parts[m.Part]; !twice {
		a.parts[m.Part] = append([]byte{}, m.Body...)
		a.size += len(m.Body)
	}
	isLast := len(a.parts) == a.count
	if a.size > a.total || isLast && a.size != a.total {
		*a = answerAssembly{}
		return false
	}
	return isLast
}

// continues reports whether a part belongs to the same answer as the earlier ones.
func (a *answerAssembly) continues(m *wire.AnswerPart) bool {
	return a.count == m.Parts && a.total == m.Total && a.status == m.Status && a.failed == m.Failed
}

// body returns the whole answer.
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
