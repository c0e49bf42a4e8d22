// Package ring draws places in a long list of names that is kept in order, so that processes
// which know nothing of each other share such a list evenly, or agree on a place in it. It needs
// only a few names to know how all are made.
package ring

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// width is how many characters of a name decide its place. Eight hexadecimal ones tell 4,000
// million names apart.
const width = 8

// alphabets are those that the varying part of names is usually made of, each with its characters
// in the order of their bytes. A few names don't show all characters of theirs.
var alphabets = []string{
	"0123456789",
	"0123456789abcdef",
	"0123456789ABCDEF",
	"0123456789abcdefghijklmnopqrstuvwxyz",
	"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz",
}

// Names is how the names of a list are made: a part that is the same in all, and one that varies.
type Names struct {
	prefix   string
	alphabet string
	width    int    // of the varying part, at most width
	least    uint64 // the place of the first name seen
}

// Observe learns how names are made from the first of a list. ok is false if they have no varying part in
// common, or are too few to tell.
func Observe(names []string) (made Names, ok bool) {
	if len(names) < 2 {
		return Names{}, false
	}
	for _, alphabet := range alphabets {
		tail := varying(names[0], alphabet)
		prefix := strings.TrimSuffix(names[0], tail)
		if !allVary(names, prefix, alphabet) || tail == "" {
			continue
		}
		shortest := len(tail)
		for _, name := range names {
			shortest = min(shortest, len(name)-len(prefix))
		}
		made = Names{prefix: prefix, alphabet: alphabet, width: min(shortest, width)}
		made.least = made.place(names[0])
		return made, true
	}
	return Names{}, false
}

// varying is the longest end of a name that is made of an alphabet.
func varying(name, alphabet string) string {
	end := len(name)
	for end > 0 && strings.IndexByte(alphabet, name[end-1]) >= 0 {
		end--
	}
	return name[end:]
}

// allVary reports whether all names are a prefix and then characters of an alphabet.
func allVary(names []string, prefix, alphabet string) bool {
	for _, name := range names {
		tail, ok := strings.CutPrefix(name, prefix)
		if !ok || tail == "" || varying(tail, alphabet) != tail {
			return false
		}
	}
	return true
}

// drawTries bounds how often a place before the first name is drawn anew.
const drawTries = 256

// Draw is a place that a text decides: the same for all who ask, as long as the first name of the
// list stays before it. Below is a place at which nothing was found any more, and bounds the next
// one; empty: none is known.
func (n Names) Draw(text, below string) string {
	bound := n.places()
	if below != "" {
		bound = max(1, n.place(below))
	}
	place := n.least
	for try := range drawTries {
		drawn := xxhash.Sum64String(text+"/"+strconv.Itoa(try)) % bound
		if drawn >= n.least {
			place = drawn
			break
		}
	}
	return n.name(place)
}

// Size estimates how long the list is from some names that follow each other in it: these take a
// part of all the places behind the first name, as all names do where they are spread evenly.
func (n Names) Size(some []string) int {
	if len(some) < 2 {
		return len(some)
	}
	first, last := n.place(some[0]), n.place(some[len(some)-1])
	if last <= first {
		return len(some)
	}
	return int(float64(len(some)-1) * float64(n.places()-n.least) / float64(last-first))
}

// places is how many there are.
func (n Names) places() uint64 {
	places := uint64(1)
	for range n.width {
		places *= uint64(len(n.alphabet))
	}
	return places
}

// place is the number of a name.
func (n Names) place(name string) (place uint64) {
	for _, char := range []byte(name[len(n.prefix) : len(n.prefix)+n.width]) {
		place = place*uint64(len(n.alphabet)) + uint64(strings.IndexByte(n.alphabet, char))
	}
	return place
}

func (n Names) name(place uint64) string {
	varies := make([]byte, n.width)
	for index := n.width - 1; index >= 0; index-- {
		varies[index] = n.alphabet[place%uint64(len(n.alphabet))]
		place /= uint64(len(n.alphabet))
	}
	return n.prefix + string(varies)
}
