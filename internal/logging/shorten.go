package logging

// maxTextBytes is the length of a text that may quote what a client has sent.
const maxTextBytes = 300

// Shorten cuts a text that may quote what a client has sent, so that a client can't fill
// logs and answers.
func Shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "..."
}
