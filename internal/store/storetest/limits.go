package storetest

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Limits of the table, as it publishes them. Bytes are counted as they are sent.
const (
	maxPageRows           = 500
	maxPageBytes          = 1 << 20
	maxTransactionEntries = 100 // conditions, rows put and rows removed
	maxTransactionBytes   = 1 << 20
	maxNameBytes          = 200 // of a table, a part and a row's name, each
	maxValueBytes         = 64 << 10
)

// entryOverheadBytes is how many bytes an entry takes besides its names and its value.
const entryOverheadBytes = 40

// ErrBeyondLimits is the error of a transaction that the table would never accept.
var ErrBeyondLimits = errors.New("the transaction exceeds the limits of the table; split it, or shorten its names or values")

// checkLimits returns an ErrBeyondLimits that names the limit which a transaction exceeds.
func checkLimits(transaction store.Transaction) error {
	keys, bytes := slices.Clone(transaction.Remove), 0
	for _, condition := range transaction.Conditions {
		keys = append(keys, condition.Key)
	}
	for _, row := range transaction.Put {
		keys = append(keys, row.Key)
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
		if len(row.Value) > maxValueBytes {
			return fmt.Errorf("row %v has a value of %d bytes: %w", row.Key, len(row.Value), ErrBeyondLimits)
		}
	}
	for _, key := range keys {
		bytes += keyBytes(key)
		if max(len(key.Table), len(key.Part), len(key.Name)) > maxNameBytes {
			return fmt.Errorf("key %v is too long: %w", key, ErrBeyondLimits)
		}
	}
	if len(keys) > maxTransactionEntries {
		return fmt.Errorf("%d entries: %w", len(keys), ErrBeyondLimits)
	}
	if bytes > maxTransactionBytes {
		return fmt.Errorf("%d bytes: %w", bytes, ErrBeyondLimits)
	}
	return nil
}

func keyBytes(key store.Key) int {
	return len(key.Table) + len(key.Part) + len(key.Name) + entryOverheadBytes
}

// rowBytes returns the size of a row in a page.
func rowBytes(row store.Row) int {
	return keyBytes(row.Key) + base64.StdEncoding.EncodedLen(len(row.Value))
}
