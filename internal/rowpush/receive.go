package rowpush

import (
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
)

// maxBodyBytes is above the largest transaction, 1 MB.
const maxBodyBytes = 2 << 20

// Handler is given the rows of a push and where its sender takes pushes itself,
// empty for nowhere. It must not wait. It returns false when the process does not
// follow the rows, or has too much to do; they then come with the feed.
type Handler func(from string, rows []storeapi.Row) bool

// Route returns a handler that gives pushes to take and other calls to next,
// which may be nil.
func Route(take Handler, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) == path:
			receive(ctx, take)
		case next != nil:
			next(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// NewServer returns the server of a process that takes pushes only.
func NewServer(take Handler) *fasthttp.Server {
	return &fasthttp.Server{
		MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, CloseOnShutdown: true, Handler: Route(take, nil),
	}
}

func receive(ctx *fasthttp.RequestCtx, take Handler) {
	var in message
	switch err := rowcodec.Decode(ctx.PostBody(), &in); {
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	case !take(in.From, in.Rows):
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	}
}
