// Package keyspace picks keys from a long ordered list of names that share a format, so that
// independent processes spread their reads of the list evenly, or agree on a starting point in it.
// It infers the format from a few names.
package keyspace

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxWidth bounds the characters of a name that are used. Eight hexadecimal digits distinguish 4
// billion names.
const maxWidth = 8

// alphabets are the usual character sets of generated names, with the characters in byte order. A
// sample of names rarely contains all characters of its set.
var alphabets = []string{
	"0123456789",
	"0123456789abcdef",
	"0123456789ABCDEF",
	"0123456789abcdefghijklmnopqrstuvwxyz",
	"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz",
}

// Format is the format of the names in a list: a constant prefix and a varying suffix. Names are
// mapped to indexes by reading the suffix as a number.
type Format struct {
	prefix     string
	alphabet   string
	width      int    // characters of the suffix used, at most maxWidth
	firstIndex uint64 // index of the first observed name
}

// InferFormat infers the format from the first names of a list, in order. ok is false for fewer than
// two names, or if they have no varying suffix over a known alphabet.
func InferFormat(names []string) (format Format, ok bool) {
	if len(names) < 2 {
		return Format{}, false
	}
	for _, alphabet := range alphabets {
		suffix := varyingSuffix(names[0], alphabet)
		prefix := strings.TrimSuffix(names[0], suffix)
		if !allMatch(names, prefix, alphabet) || suffix == "" {
			continue
		}
		shortest := len(suffix)
		for _, name := range names {
			shortest = min(shortest, len(name)-len(prefix))
		}
		format = Format{prefix: prefix, alphabet: alphabet, width: min(shortest, maxWidth)}
		format.firstIndex = format.index(names[0])
		return format, true
	}
	return Format{}, false
}

// varyingSuffix returns the longest suffix of name over an alphabet.
func varyingSuffix(name, alphabet string) string {
	end := len(name)
	for end > 0 && strings.IndexByte(alphabet, name[end-1]) >= 0 {
		end--
	}
	return name[end:]
}

// allMatch reports whether each name is prefix and then one or more characters of alphabet.
func allMatch(names []string, prefix, alphabet string) bool {
	for _, name := range names {
		suffix, ok := strings.CutPrefix(name, prefix)
		if !ok || suffix == "" || varyingSuffix(suffix, alphabet) != suffix {
			return false
		}
	}
	return true
}

// maxDraws bounds the attempts to draw an index that is not below the first name.
const maxDraws = 256

// Pick returns a name chosen by seed, so that all callers with the same seed get the same name
// while the first name of the list sorts before it. If nothing was found at or after an earlier
// result, pass that as before: the next result sorts before it. An empty before sets no limit.
func (n Format) Pick(seed, before string) string {
	limit := n.count()
	if before != "" {
		limit = max(1, n.index(before))
	}
	index := n.firstIndex
	for attempt := range maxDraws {
		candidate := xxhash.Sum64String(seed+"/"+strconv.Itoa(attempt)) % limit
		if candidate >= n.firstIndex {
			index = candidate
			break
		}
	}
	return n.name(index)
}

// EstimateCount estimates the length of the list from consecutive names of it, assuming that names are
// spread evenly over all indexes from the first name on.
func (n Format) EstimateCount(sample []string) int {
	if len(sample) < 2 {
		return len(sample)
	}
	first, last := n.index(sample[0]), n.index(sample[len(sample)-1])
	if last <= first {
		return len(sample)
	}
	return int(float64(len(sample)-1) * float64(n.count()-n.firstIndex) / float64(last-first))
}

// count returns the number of possible indexes.
func (n Format) count() uint64 {
	count := uint64(1)
	for range n.width {
		count *= uint64(len(n.alphabet))
	}
	return count
}

// index returns the index of a name.
func (n Format) index(name string) (index uint64) {
	for _, char := range []byte(name[len(n.prefix) : len(n.prefix)+n.width]) {
		index = index*uint64(len(n.alphabet)) + uint64(strings.IndexByte(n.alphabet, char))
	}
	return index
}

// name returns the name with an index.
func (n Format) name(index uint64) string {
	chars := make([]byte, n.width)
	for position := n.width - 1; position >= 0; position-- {
		chars[position] = n.alphabet[index%uint64(len(n.alphabet))]
		index /= uint64(len(n.alphabet))
	}
	return n.prefix + string(chars)
}
