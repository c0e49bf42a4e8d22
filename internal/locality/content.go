package locality

import "context"

type contentKey struct{}

// WithContentRegions returns a context for calls that carry the content of a client's request. Only nodes
// in these regions may forward or store it. The node that received the request from the client may
// forward it even from another region, but not store it there. Nil regions leave ctx as it is.
func WithContentRegions(ctx context.Context, regions Regions) context.Context {
	if regions == nil {
		return ctx
	}
	return context.WithValue(ctx, contentKey{}, regions)
}

// ContentRegions returns the regions set by WithContentRegions; nil (all regions) if there are none.
func ContentRegions(ctx context.Context) Regions {
	regions, _ := ctx.Value(contentKey{}).(Regions)
	return regions
}
