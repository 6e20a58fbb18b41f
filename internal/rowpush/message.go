package rowpush

import "dragonflyyard/internal/storeapi"

// path is where a process takes pushes.
const path = "/rows/pushed"

// message is the body of a push.
type message struct {
	// From is where the sender takes pushes itself, IP:port; empty for nowhere.
	From string         `codec:"f,omitempty"`
	Rows []storeapi.Row `codec:"r"`
}
