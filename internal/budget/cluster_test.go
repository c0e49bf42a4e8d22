package budget

import (
	"context"
	"errors"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

func newTestAccounts(table store.Store, process string) *Accounts {
	return NewAccounts(Options{Store: table, Self: Holder{Process: process, Address: process}})
}

// cluster is the accounts of several nodes that can send requests to each other.
type cluster struct {
	table        store.Store
	mutex        sync.Mutex
	nodeAccounts map[string]*Accounts
	// delivery, if not nil, decides whether a request arrives and whether its answer
	// does.
	delivery func() (asked, answered bool)
	requests int
	// Requests to unreachable nodes time out; those to closed ones are refused.
	unreachable map[string]bool
	closed      map[string]bool
}

// errPortClosed is the connection error of a process that has exited.
var errPortClosed = errors.New("connection refused")

// makeUnreachable makes requests to a node time out, as if its machine had failed.
func (c *cluster) makeUnreachable(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unreachable[process] = true
}

// closePort makes connections to a node fail, as if its process had exited.
func (c *cluster) closePort(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed[process] = true
}

func (c *cluster) setDelivery(delivery func() (asked, answered bool)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.delivery = delivery
}

func newCluster(table store.Store) *cluster {
	return &cluster{table: table, nodeAccounts: map[string]*Accounts{}, unreachable: map[string]bool{}, closed: map[string]bool{}}
}

func (c *cluster) newAccounts(process string) *Accounts {
	accounts := NewAccounts(Options{Store: c.table, Self: Holder{Process: process, Address: process}, Peers: c})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodeAccounts[process] = accounts
	return accounts
}

// HandOver implements Peers.
func (c *cluster) HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error) {
	c.mutex.Lock()
	asked, answered := true, true
	if c.delivery != nil {
		asked, answered = c.delivery()
	}
	c.requests++
	to, closed := c.nodeAccounts[address], c.closed[address]
	asked = asked && !c.unreachable[address]
	c.mutex.Unlock()
	if closed {
		return HandOverAnswer{}, errPortClosed
	}
	var answer HandOverAnswer
	if asked && to != nil {
		answer = to.HandOver(ctx, request)
	}
	if !asked || !answered || to == nil {
		<-ctx.Done()
		return HandOverAnswer{}, ctx.Err()
	}
	return answer, nil
}
