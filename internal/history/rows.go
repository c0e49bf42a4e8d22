package history

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// How turns are laid out in the rows of the table.

const (
	// partCount is the number of partitions that turns are spread over.
	partCount = 64
	// placeCount is the number of places, in different partitions, where a turn may be
	// stored. If one partition is down, the turn is written to the next place.
	placeCount = 2
	// maxRowBytes is the maximum size of a row. Larger turns are split over several rows.
	maxRowBytes = 40 << 10
)

// Parts returns the names of the partitions that hold turns.
func Parts() []string {
	names := make([]string, partCount)
	for part := range names {
		names[part] = partName(uint64(part))
	}
	return names
}

func partName(part uint64) string { return "t" + strconv.FormatUint(part, 10) }

// partOf returns the partition of one of a turn's places. The places of a turn lie in
// different partitions.
func partOf(id string, place int) string { return partName(partNumber(id, place)) }

func partNumber(id string, place int) uint64 {
	hash := xxhash.Sum64String(id)
	step := 1 + (hash>>32)%(partCount-1)
	return (hash + uint64(place)*step) % partCount
}

// The first row of a turn is named by the escaped ID, which contains no slash. Further
// rows append a slash and their index. They sort from the escaped ID + rowSeparator to the escaped ID + rowNameEnd; the first row
// sorts before them, and so do turns whose ID begins with this one's, as "X-2" does with "X".
const (
	rowSeparator = "/"
	rowNameEnd   = "0" // the byte that follows the slash
)

func rowName(id string, index int) string {
	if index == 0 {
		return url.PathEscape(id)
	}
	return url.PathEscape(id) + rowSeparator + strconv.Itoa(index)
}

// rowIndex returns the index in the name of a turn's row.
func rowIndex(name string) int {
	_, index, _ := strings.Cut(name, rowSeparator)
	number, _ := strconv.Atoi(index) // the first row has no index
	return number
}

// putTransaction returns the transaction that writes the encoded turn to one of its places.
func (t *Turn) putTransaction(encoded []byte, place int) store.Transaction {
	part := partOf(t.ID, place)
	var transaction store.Transaction
	for index := 0; len(encoded) > 0; index++ {
		piece := encoded[:min(maxRowBytes, len(encoded))]
		encoded = encoded[len(piece):]
		key := store.Key{Table: Table, Part: part, Name: rowName(t.ID, index)}
		transaction.Put = append(transaction.Put, store.Row{Key: key, Value: store.WithExpiry(t.Expires, piece)})
	}
	return transaction
}

// maxReadTries is how often the rows of a long turn are read while its renewal replaces them.
const maxReadTries = 3

// errTurnChanged reports that a turn was renewed between the reads of its rows, each time.
var errTurnChanged = errors.New("the turn's rows changed while they were read; read them again")

// readPlace reads a turn, and the earlier ones in its rows, from one place; nil: the place does not have it. It reads the rows of
// this turn only: the names of other turns may lie between them.
func (s *TurnStore) readPlace(ctx context.Context, id string, place int) (turns []*Turn, err error) {
	part := partOf(id, place)
	for range maxReadTries {
		first, err := s.readFirstRow(ctx, part, id)
		if err != nil || first.Version == 0 {
			return nil, err
		}
		turns, err = decodeRows(id, []store.Row{first})
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			return turns, err
		}
		name := url.PathEscape(id)
		rest, err := store.ReadAll(ctx, s.options.Store, Table, part, name+rowSeparator, name+rowNameEnd)
		if err != nil {
			return nil, err
		}
		if isOneVersion(first, rest.Rows) {
			return decodeRows(id, append(rest.Rows, first))
		}
	}
	return nil, errTurnChanged
}

// readFirstRow reads the first row of a turn. Its version is zero if the part does not have it.
func (s *TurnStore) readFirstRow(ctx context.Context, part, id string) (store.Row, error) {
	name := url.PathEscape(id)
	page, err := s.options.Store.Range(ctx, Table, part, name, name+rowNameEnd, 1)
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Name != name {
		return store.Row{}, err
	}
	return page.Rows[0], nil
}

// isOneVersion reports whether one transaction wrote all rows of a turn.
func isOneVersion(first store.Row, rest []store.Row) bool {
	return !slices.ContainsFunc(rest, func(row store.Row) bool { return row.Version != first.Version })
}

// decodeRows decodes the turn with the given ID, and the earlier ones in its rows, from the rows in any order. The error wraps
// io.ErrUnexpectedEOF if rows are missing.
func decodeRows(id string, rows []store.Row) ([]*Turn, error) {
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(rowIndex(a.Name), rowIndex(b.Name)) })
	var joined []byte
	for _, row := range rows {
		_, payload, err := store.SplitExpiry(row.Value)
		if err != nil {
			return nil, err
		}
		joined = append(joined, payload...)
	}
	turns, err := decode(joined)
	if err != nil {
		return nil, err
	}
	if holds := turns[len(turns)-1].ID; holds != id {
		return nil, fmt.Errorf("the rows of turn %q hold turn %q; they are not used", id, holds)
	}
	return turns, nil
}
