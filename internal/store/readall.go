package store

import "context"

// ReadAll reads all rows of a part with from <= Name < to, in as many pages as they take. An empty to means no upper bound.
// The result's Version is that of the first page: it may lack changes that were made after it.
func ReadAll(ctx context.Context, table Store, name, part, from, to string) (Page, error) {
	all, err := table.Range(ctx, name, part, from, to, 0)
	for more := all.More && len(all.Rows) > 0; more && err == nil; {
		var next Page
		next, err = table.Range(ctx, name, part, all.Rows[len(all.Rows)-1].Name+nameSuccessor, to, 0)
		all.Rows = append(all.Rows, next.Rows...)
		more = next.More && len(next.Rows) > 0
	}
	all.More = false
	return all, err
}

// nameSuccessor, appended to a name, gives the least name above it.
const nameSuccessor = "\x00"
