package ring

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// list is a list of so many names in order.
func list(count int, name func(index int) string) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = name(index)
	}
	slices.Sort(names)
	return names
}

// TestPlacesAreSpreadOverAnyList: of a thousand processes that read 200 names each from a place that
// they draw, about as many know each name, whatever names look like.
func TestPlacesAreSpreadOverAnyList(t *testing.T) {
	const processes, reads, count = 1000, 200, 10_000
	for kind, name := range map[string]func(int) string{
		"hexadecimal": func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) },
		"numbers":     func(index int) string { return fmt.Sprintf("worker-%06d", index) },
		"words":       func(index int) string { return fmt.Sprintf("w%s", words(xxhash.Sum64String(fmt.Sprint(index)))) },
	} {
		t.Run(kind, func(t *testing.T) {
			names := list(count, name)
			made, ok := Observe(names[:64])
			require.True(t, ok)
			known := make([]int, count)
			for process := range processes {
				start := drawStart(made, names, fmt.Sprint("process-", process))
				for offset := range reads {
					known[(start+offset)%count]++
				}
			}
			slices.Sort(known)
			require.GreaterOrEqual(t, known[count/100], reads*processes/count/4, "nobody is forgotten")
			require.LessOrEqual(t, known[count-1], 3*reads*processes/count, "nobody is known by all")
		})
	}
}

// words spells a number in letters and digits.
func words(number uint64) string {
	const alphabet = "0123456789abcdefghijklmnopqrstuvwxyz"
	var spelt []byte
	for range 10 {
		spelt = append(spelt, alphabet[number%36])
		number /= 36
	}
	return string(spelt)
}

// drawStart draws as long as nothing is found at the place.
func drawStart(made Names, names []string, text string) int {
	below := ""
	for {
		place := made.Draw(text, below)
		if start, _ := slices.BinarySearch(names, place); start < len(names) {
			return start
		}
		below = place
	}
}

func TestNamesWithoutAVaryingPart(t *testing.T) {
	for _, names := range [][]string{nil, {"one"}, {"a-1", "b-2"}, {"one", "öne"}, {"", "a"}, {"x-", "x-1"}} {
		_, ok := Observe(names)
		require.False(t, ok, "%q", names)
	}
}

// TestAllWhoAskAgree: also if they have seen other names of the list.
func TestAllWhoAskAgree(t *testing.T) {
	names := list(1000, func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) })
	one, _ := Observe(names[:64])
	later, _ := Observe(names[1:64])
	require.Equal(t, one.Draw("part", ""), later.Draw("part", ""))
	require.NotEqual(t, one.Draw("part", ""), one.Draw("other", ""))
}

func TestSizeOfAListFromSomeNames(t *testing.T) {
	for _, count := range []int{100, 600, 3000, 10_000, 100_000} {
		names := list(count, func(index int) string { return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24) })
		made, ok := Observe(names[:64])
		require.True(t, ok)
		require.InEpsilon(t, count, made.Size(names[:64]), 0.4)
		require.InEpsilon(t, count, made.Size(names[count/2-30:count/2+30]), 0.4)
	}
}
