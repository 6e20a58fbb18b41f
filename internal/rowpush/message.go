package rowpush

import "dragonflyyard/internal/storeapi"

// path is the URL path on which a process receives pushes.
const path = "/rows/pushed"

// message is the body of a push.
type message struct {
	// From is the address (IP:port) on which the sender receives pushes itself;
	// empty if it receives none.
	From string         `codec:"f,omitempty"`
	Rows []storeapi.Row `codec:"r"`
}
