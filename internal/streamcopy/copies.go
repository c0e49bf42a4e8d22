package streamcopy

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// copyTTL is how long a copy is kept after its last event. It exceeds the time that clients spend on a turn with all their retries.
const copyTTL = time.Minute

// copies are the attempts that a node holds. It is safe for concurrent use.
type copies struct {
	mutex    sync.Mutex
	maxBytes int
	bytes    int
	turns    map[string][]*list.Element // by turn
	oldest   *list.List                 // of *held; the one that was extended last is at the back
}

// held is a copy of an attempt.
type held struct {
	attempt    Attempt
	bytes      int
	extendedAt time.Time
}

func newCopies(maxBytes int) *copies {
	return &copies{maxBytes: maxBytes, turns: map[string][]*list.Element{}, oldest: list.New()}
}

// extend adds events to the copy of an attempt, and begins it with the first ones. It returns the number of events that the copy has
// afterwards, which is less than those of the request if earlier ones are missing, or if there is no room for them.
func (c *copies) extend(request AppendRequest, now time.Time) int {
	if !request.valid() {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropExpired(now)
	element := c.find(request.Attempt.Turn, request.Attempt.Request)
	if element == nil && request.From > 0 {
		return 0
	}
	if element == nil {
		element = c.oldest.PushBack(&held{attempt: request.Attempt.empty()})
		c.turns[request.Attempt.Turn] = append(c.turns[request.Attempt.Turn], element)
	}
	kept := element.Value.(*held)
	if !kept.attempt.extend(request) {
		return len(kept.attempt.Marks)
	}
	c.bytes += kept.attempt.size() - kept.bytes
	kept.bytes, kept.extendedAt = kept.attempt.size(), now
	c.oldest.MoveToBack(element)
	for c.bytes > c.maxBytes && c.oldest.Len() > 0 {
		c.drop(c.oldest.Front())
	}
	if c.find(request.Attempt.Turn, request.Attempt.Request) == nil {
		return 0
	}
	return len(kept.attempt.Marks)
}

// read returns copies of those attempts that a request asks for.
func (c *copies) read(request ReadRequest, now time.Time) (attempts []Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropExpired(now)
	for _, element := range c.turns[request.Turn] {
		cut, ok := element.Value.(*held).attempt.through(request.LastEventID)
		if ok && (request.Stream == "" || cut.Stream == request.Stream) {
			attempts = append(attempts, cut.clone())
		}
	}
	return attempts
}

// find returns the copy of an attempt; nil: there is none. The caller holds the mutex.
func (c *copies) find(turn, request string) *list.Element {
	for _, element := range c.turns[turn] {
		if element.Value.(*held).attempt.Request == request {
			return element
		}
	}
	return nil
}

// dropExpired drops the copies that were not extended lately. The caller holds the mutex.
func (c *copies) dropExpired(now time.Time) {
	for front := c.oldest.Front(); front != nil && now.Sub(front.Value.(*held).extendedAt) > copyTTL; front = c.oldest.Front() {
		c.drop(front)
	}
}

// drop drops a copy. The caller holds the mutex.
func (c *copies) drop(element *list.Element) {
	dropped := c.oldest.Remove(element).(*held)
	c.bytes -= dropped.bytes
	turn := dropped.attempt.Turn
	c.turns[turn] = slices.DeleteFunc(c.turns[turn], func(other *list.Element) bool { return other == element })
	if len(c.turns[turn]) == 0 {
		delete(c.turns, turn)
	}
}
