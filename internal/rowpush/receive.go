package rowpush

import (
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
)

// maxBodyBytes leaves room for the rows of the largest transaction, 1 MB.
const maxBodyBytes = 2 << 20

// Handler handles the rows of a push. from is the address on which the sender
// receives pushes itself, empty if it receives none. A handler must not block. It
// returns false if the process does not follow the rows or is overloaded; the feed
// delivers the rows in that case.
type Handler func(from string, rows []storeapi.Row) bool

// Route returns an HTTP handler that passes pushes to handle and requests for other
// paths to next. If next is nil, it answers those with status 404.
func Route(handle Handler, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) == path:
			receive(ctx, handle)
		case next != nil:
			next(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// NewServer returns the HTTP server of a process that serves no path except pushes.
func NewServer(handle Handler) *fasthttp.Server {
	return &fasthttp.Server{
		MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, CloseOnShutdown: true, Handler: Route(handle, nil),
	}
}

func receive(ctx *fasthttp.RequestCtx, handle Handler) {
	var in message
	switch err := rowcodec.DecodeMessage(ctx.PostBody(), &in); {
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	case !handle(in.From, in.Rows):
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	}
}
