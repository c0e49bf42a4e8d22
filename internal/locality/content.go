package locality

import "context"

type contentKey struct{}

// WithContent returns a context for calls that carry the content of a client's request. Only nodes
// in these regions may forward or store it. The node that received the request from the client may
// forward it even from another region, but not store it there. Nil regions leave ctx as it is.
func WithContent(ctx context.Context, regions Regions) context.Context {
	if regions == nil {
		return ctx
	}
	return context.WithValue(ctx, contentKey{}, regions)
}

// Content returns the regions set by WithContent; nil (all regions) if there are none.
func Content(ctx context.Context) Regions {
	regions, _ := ctx.Value(contentKey{}).(Regions)
	return regions
}
