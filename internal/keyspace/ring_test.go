package keyspace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// sortedNames returns count generated names in order.
func sortedNames(count int, name func(index int) string) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = name(index)
	}
	slices.Sort(names)
	return names
}

// TestDrawsAreSpreadEvenly guards against names that too few or too many processes read, for each
// kind of names: 1,000 processes read 200 names each from where they draw.
func TestDrawsAreSpreadEvenly(t *testing.T) {
	const processes, namesPerProcess, count = 1000, 200, 10_000
	for kind, name := range map[string]func(int) string{
		"hexadecimal": func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) },
		"numbers":     func(index int) string { return fmt.Sprintf("worker-%06d", index) },
		"words":       func(index int) string { return fmt.Sprintf("w%s", base36(xxhash.Sum64String(fmt.Sprint(index)))) },
	} {
		t.Run(kind, func(t *testing.T) {
			names := sortedNames(count, name)
			format, ok := InferFormat(names[:64])
			require.True(t, ok)
			readers := make([]int, count)
			for process := range processes {
				start := drawStart(format, names, fmt.Sprint("process-", process))
				for offset := range namesPerProcess {
					readers[(start+offset)%count]++
				}
			}
			slices.Sort(readers)
			require.GreaterOrEqual(t, readers[count/100], namesPerProcess*processes/count/4, "almost every name has enough readers")
			require.LessOrEqual(t, readers[count-1], 3*namesPerProcess*processes/count, "no name has too many readers")
		})
	}
}

// base36 encodes a number in ten base-36 digits, lowest first.
func base36(number uint64) string {
	const alphabet = "0123456789abcdefghijklmnopqrstuvwxyz"
	var digits []byte
	for range 10 {
		digits = append(digits, alphabet[number%36])
		number /= 36
	}
	return string(digits)
}

// drawStart draws until there is a name at or after the result.
func drawStart(format Format, names []string, seed string) int {
	before := ""
	for {
		name := format.Pick(seed, before)
		if start, _ := slices.BinarySearch(names, name); start < len(names) {
			return start
		}
		before = name
	}
}

// TestObserveRejectsNamesWithoutCommonFormat guards against a format inferred from names that share none.
func TestObserveRejectsNamesWithoutCommonFormat(t *testing.T) {
	for _, names := range [][]string{nil, {"one"}, {"a-1", "b-2"}, {"one", "öne"}, {"", "a"}, {"x-", "x-1"}} {
		_, ok := InferFormat(names)
		require.False(t, ok, "%q", names)
	}
}

// TestDrawIsIndependentOfObservedNames guards against processes that draw different names for the
// same seed because they observed different names.
func TestDrawIsIndependentOfObservedNames(t *testing.T) {
	names := sortedNames(1000, func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) })
	first, _ := InferFormat(names[:64])
	other, _ := InferFormat(names[1:64])
	require.Equal(t, first.Pick("part", ""), other.Pick("part", ""))
	require.NotEqual(t, first.Pick("part", ""), first.Pick("other", ""))
}

// TestSizeEstimateFromSample guards against estimates more than 40% off, wherever the sample lies.
func TestSizeEstimateFromSample(t *testing.T) {
	for _, count := range []int{100, 600, 3000, 10_000, 100_000} {
		names := sortedNames(count, func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) })
		format, ok := InferFormat(names[:64])
		require.True(t, ok)
		require.InEpsilon(t, count, format.EstimateCount(names[:64]), 0.4)
		require.InEpsilon(t, count, format.EstimateCount(names[count/2-30:count/2+30]), 0.4)
	}
}
