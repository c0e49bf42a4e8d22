package worker

import "github.com/cloverwheel/cloverwheel/internal/chat"

// memory counts the KV memory that running calls and holds speak for. A segment
// that several of them share counts once, as it does at the engine.
type memory struct {
	segments map[uint64]*reference
	prompts  int // tokens of all referenced segments
	outputs  int // tokens set aside for output
}

type reference struct {
	tokens int
	count  int
}

func newMemory() *memory { return &memory{segments: map[uint64]*reference{}} }

// add references prefix and sets output aside.
func (m *memory) add(prefix chat.Prefix, output int) {
	m.outputs += output
	for _, segment := range prefix {
		known, ok := m.segments[segment.Hash]
		if !ok {
			known = &reference{tokens: segment.Tokens}
			m.segments[segment.Hash] = known
			m.prompts += segment.Tokens
		}
		known.count++
	}
}

// remove undoes an add of the same prefix and output.
func (m *memory) remove(prefix chat.Prefix, output int) {
	m.outputs -= output
	for _, segment := range prefix {
		known, ok := m.segments[segment.Hash]
		if !ok {
			continue
		}
		known.count--
		if known.count == 0 {
			m.prompts -= known.tokens
			delete(m.segments, segment.Hash)
		}
	}
}

// shared returns how many tokens of prefix are referenced already, from its start.
func (m *memory) shared(prefix chat.Prefix) int {
	total := 0
	for _, segment := range prefix {
		if _, ok := m.segments[segment.Hash]; !ok {
			return total
		}
		total += segment.Tokens
	}
	return total
}

// exclusive returns how many tokens only one reference to prefix keeps.
func (m *memory) exclusive(prefix chat.Prefix) int {
	total := 0
	for _, segment := range prefix {
		if known, ok := m.segments[segment.Hash]; ok && known.count == 1 {
			total += segment.Tokens
		}
	}
	return total
}

// used is all the memory spoken for.
func (m *memory) used() int { return m.prompts + m.outputs }
