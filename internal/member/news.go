package member

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// newsQueue holds the updates that a node still passes on, one for each node
// they are about, with those sent least often in front.
type newsQueue struct {
	byNode map[id.Node]*news
	order  []*news // may hold replaced ones, which are skipped
}

type news struct {
	update   Update
	sent     int
	replaced bool
}

func newNewsQueue() newsQueue { return newsQueue{byNode: map[id.Node]*news{}} }

// add puts an update in front; it replaces older news of the same node. News of
// a fresh incarnation keeps its details, since others may not know them.
func (q *newsQueue) add(update Update) {
	if last, ok := q.byNode[update.Node]; ok {
		if update.Details == nil && last.update.Incarnation == update.Incarnation {
			update.Details = last.update.Details
		}
		last.replaced = true
	}
	item := &news{update: update}
	q.byNode[update.Node] = item
	q.order = slices.Insert(q.order, 0, item)
}

// peek returns up to limit updates from the front.
func (q *newsQueue) peek(limit int) []Update {
	var updates []Update
	for _, item := range q.order {
		if len(updates) == limit {
			break
		}
		if !item.replaced {
			updates = append(updates, item.update)
		}
	}
	return updates
}

// take is peek that counts the updates as sent: they go to the back, or away
// once they have been sent maxSent times.
func (q *newsQueue) take(limit, maxSent int) []Update {
	var updates []Update
	var again []*news
	passed := 0
	for _, item := range q.order {
		if len(updates) == limit {
			break
		}
		passed++
		if item.replaced {
			continue
		}
		updates = append(updates, item.update)
		item.sent++
		if item.sent >= maxSent {
			delete(q.byNode, item.update.Node)
			continue
		}
		again = append(again, item)
	}
	q.order = append(q.order[passed:], again...)
	return updates
}

func (q *newsQueue) clear() {
	clear(q.byNode)
	q.order = nil
}

func (q *newsQueue) len() int { return len(q.byNode) }

// holds reports whether there is news of a node.
func (q *newsQueue) holds(node id.Node) bool { return q.byNode[node] != nil }
