package config

import (
	"context"
	"fmt"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// bootstrapObjects is the number of objects in one change of a first creation.
const bootstrapObjects = 512

// Bootstrap gives a new cluster its first configuration; a cluster that already
// has one keeps it. All nodes may call it at once with the same configuration.
func (s *Service) Bootstrap(ctx context.Context, initial *template.Configuration) error {
	for i, change := range portions(initial.All(), bootstrapObjects) {
		_, err := s.Apply(ctx, ApplyRequest{
			ChangeID: fmt.Sprintf("bootstrap-%d", i),
			Change:   change,
			Author:   "bootstrap",
			Message:  "first configuration",
			Initial:  i == 0,
		})
		if fault.Is(err, fault.Conflict) {
			return nil // the cluster was configured before
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// portions splits a change, templates first because tenants refer to them.
func portions(change template.Change, size int) []template.Change {
	var parts []template.Change
	for len(change.PutTemplates)+len(change.PutTenants) > 0 {
		var part template.Change
		count := min(size, len(change.PutTemplates))
		part.PutTemplates, change.PutTemplates = change.PutTemplates[:count], change.PutTemplates[count:]
		count = min(size-count, len(change.PutTenants))
		part.PutTenants, change.PutTenants = change.PutTenants[:count], change.PutTenants[count:]
		parts = append(parts, part)
	}
	return parts
}
