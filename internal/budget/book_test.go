package budget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

func book(table store.Store, process string) *Book {
	return NewBook(Options{Store: table, Self: Holder{Process: process, Address: process}})
}

// cluster is a set of books that can ask each other.
type cluster struct {
	table store.Store
	mutex sync.Mutex
	books map[string]*Book
	// fate, if not nil, says whether a question arrives and whether its answer does.
	fate func() (asked, answered bool)
	asks int
	// dead nodes say nothing; of those in closed the port is closed.
	dead   map[string]bool
	closed map[string]bool
}

// errPortClosed is what a connection to a process that ended fails with.
var errPortClosed = errors.New("connection refused")

// kill ends a node and its machine.
func (c *cluster) kill(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dead[process] = true
}

// closePort ends a node; its machine is there.
func (c *cluster) closePort(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed[process] = true
}

func (c *cluster) setFate(fate func() (asked, answered bool)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fate = fate
}

func newCluster(table store.Store) *cluster {
	return &cluster{table: table, books: map[string]*Book{}, dead: map[string]bool{}, closed: map[string]bool{}}
}

func (c *cluster) book(process string) *Book {
	made := NewBook(Options{Store: c.table, Self: Holder{Process: process, Address: process}, Peers: c})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.books[process] = made
	return made
}

// HandOver implements Peers.
func (c *cluster) HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error) {
	c.mutex.Lock()
	asked, answered := true, true
	if c.fate != nil {
		asked, answered = c.fate()
	}
	c.asks++
	to, closed := c.books[address], c.closed[address]
	asked = asked && !c.dead[address]
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

func TestBudgetIsHeldAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		books := []*Book{nodes.book("a"), nodes.book("b")}
		used := 0
		for turn := range 100 {
			reservation, err := books[turn%2].Reserve(t.Context(), Claim{Program: "p", Budget: 5000, Tokens: 500})
			if err != nil {
				require.True(t, fault.Is(err, fault.BudgetExhausted), err)
				require.Equal(t, fault.RanNo, fault.From(err).Ran)
				break
			}
			reservation.Settle(300, "w1")
			used += 300
			time.Sleep(time.Second)
		}
		require.Less(t, used, 5000+500, "the budget and the most of one turn")
		require.Greater(t, used, 5000-500, "what one node holds idle is there for the other")
		time.Sleep(time.Minute)
	})
}

func TestWholeBudgetFitsOneTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := book(storetest.New(), "a")
		reservation, err := one.Reserve(t.Context(), Claim{Program: "p", Budget: 575, Tokens: 575})
		require.NoError(t, err, "a turn may draw from all shares together")
		reservation.Settle(575, "")
		_, err = one.Reserve(t.Context(), Claim{Program: "p", Budget: 575, Tokens: 575})
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		time.Sleep(time.Minute)
	})
}

func TestTurnsGoOnWhileAShareIsDown(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.Silent, storetest.Broken} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			first := keyOf("p", 0).Part
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == first {
					return down
				}
				return storetest.None
			})
			begun := time.Now()
			_, err := book(table, "a").Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
			require.NoError(t, err)
			require.Less(t, time.Since(begun), 200*time.Millisecond)
		})
	}
}

func TestTableDownIsNoWordOnTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		one := book(table, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := one.Reserve(ctx, Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.True(t, fault.Is(err, fault.Unavailable), err)
		require.Equal(t, fault.RanNo, fault.From(err).Ran)
		table.SetFault(nil)
		_, err = one.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
	})
}

func TestLostAnswerIsNotDrawnTwice(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.Lost, storetest.Applied} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			answers := 0
			table.SetFault(func(_ string, write bool) storetest.Fault {
				if answers++; write && answers == 1 {
					return lost
				}
				return storetest.None
			})
			one := book(table, "a")
			reservation, err := one.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
			require.NoError(t, err)
			reservation.Settle(200, "")
			for range 2 {
				reservation, err = one.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
				require.NoError(t, err, "the first draw counts once")
				reservation.Settle(200, "")
			}
			_, err = one.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
			require.True(t, fault.Is(err, fault.BudgetExhausted))
			time.Sleep(time.Minute)
		})
	}
}

func TestHomeTravelsWithTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		one, other := book(table, "a"), book(table, "b")
		reservation, err := one.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
		reservation.Settle(500, "w7")
		for range 6 {
			reservation, err = one.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(500, "w7")
		}
		reservation, err = other.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
		require.Equal(t, "w7", reservation.Home)
		time.Sleep(time.Minute)
	})
}

// TestNoInterleavingOverspends runs a few nodes that die, lose answers and find
// late effects, against the oracle that all turns together generate less than the
// budget and the most of one turn.
func TestNoInterleavingOverspends(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faulty := rapid.IntRange(0, 60).Draw(r, "faults in 100")
		budget := rapid.IntRange(300, 4000).Draw(r, "budget")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = overspends(t, seed, faulty, budget) })
		if failure != nil {
			r.Fatal(failure)
		}
	})
}

func overspends(t *testing.T, seed uint64, faulty, budget int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	draw := func(below int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(below)
	}
	table := storetest.New()
	var calm atomic.Bool
	table.SetFault(func(string, bool) storetest.Fault {
		if calm.Load() || draw(100) >= faulty {
			return storetest.None
		}
		return storetest.Fault(draw(int(storetest.Applied) + 1))
	})
	books := make([]*Book, 3)
	nodes := newCluster(table)
	nodes.fate = func() (asked, answered bool) { return draw(100) >= faulty, draw(100) >= faulty }
	restart := func(index int) {
		if books[index] != nil && draw(2) == 0 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			books[index].GiveBack(ctx)
			cancel()
		}
		books[index] = nodes.book(fmt.Sprintf("%d-%d", index, draw(1<<30)))
	}
	for index := range books {
		restart(index)
	}
	generated, largest := 0, 0
	for range 60 {
		index := draw(len(books))
		switch draw(12) {
		case 0:
			restart(index)
		case 1:
			table.Release(draw)
		case 2:
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			books[index].GiveBack(ctx)
			cancel()
		default:
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			most := 50 + draw(300)
			reservation, err := books[index].Reserve(ctx, Claim{Program: "p", Budget: budget, Tokens: most})
			cancel()
			if err == nil {
				used := draw(most + 1)
				generated, largest = generated+used, max(largest, most)
				reservation.Settle(used, "w")
			}
		}
		time.Sleep(time.Duration(draw(400)) * time.Millisecond)
	}
	calm.Store(true)
	time.Sleep(time.Minute)
	if generated >= budget+largest {
		return fmt.Errorf("seed %d: %d tokens of a budget of %d were generated; the largest turn had %d", seed, generated, budget, largest)
	}
	return nil
}

// TestUnusedTokensAreThereForOtherNodes: a turn that was refused unrun at one node
// is asked for again at another, of a budget that holds little more than it.
func TestUnusedTokensAreThereForOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		reservation, err := nodes.book("a").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(0, "")
		_, err = nodes.book("b").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err, "no turn has run")
	})
}

// TestWhatAFailedDrawGotIsNotLost: two of three shares are down for a while. What
// the node drew from the third for a turn that was refused is there for others.
func TestWhatAFailedDrawGotIsNotLost(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.Silent, storetest.Broken, storetest.Late, storetest.Lost} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes := newCluster(table)
			var all atomic.Bool
			up := keyOf("p", 1).Part
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == up && !all.Load() {
					return storetest.None
				}
				return down
			})
			one := nodes.book("a")
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				_, err := one.Reserve(ctx, Claim{Program: "p", Budget: 900, Tokens: 589})
				cancel()
				require.True(t, fault.Is(err, fault.Unavailable), err)
				all.Store(true) // from now on all of the table is down
			}
			table.SetFault(nil)
			table.Release(func(int) int { return 0 })
			_, err := nodes.book("b").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
			require.NoError(t, err, "fault %d: no turn has run", down)
			time.Sleep(time.Minute)
		})
	}
}

// TestProgramGoesOnAtAnotherNodeWhileTheTableIsDown: nodes that know of each other
// need no table for what one of them holds.
func TestProgramGoesOnAtAnotherNodeWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		a, b := nodes.book("a"), nodes.book("b")
		for _, one := range []*Book{a, b} {
			reservation, err := one.Reserve(t.Context(), claim)
			require.NoError(t, err)
			reservation.Settle(100, "w1")
		}
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		ran := 0
		for turn := range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			reservation, err := []*Book{a, b}[turn%2].Reserve(ctx, claim)
			cancel()
			if err != nil {
				break
			}
			ran++
			reservation.Settle(500, "w1")
		}
		require.GreaterOrEqual(t, ran, 4, "five turns were drawn")
		time.Sleep(time.Minute)
	})
}

// TestSecondNodeNeedsNoWrite: a node that meets a program under way reads who holds
// its tokens, and gets some from there.
func TestSecondNodeNeedsNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := nodes.book("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(300, "w7")
		claim.Continues = true
		two := nodes.book("b")
		reservation, err = two.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.Equal(t, "w7", reservation.Home)
		require.True(t, reservation.Handed)
		reservation.Settle(500, "w8")
		three := nodes.book("c")
		_, err = three.Reserve(t.Context(), claim)
		require.NoError(t, err)
		commits, _ := table.Calls()
		require.Equal(t, 1, commits)
	})
}

// TestSilentNodeIsNotAskedAgainAtOnce: a node that died costs a turn a moment, and
// then none for a while.
func TestSilentNodeIsNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		_, err := nodes.book("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		nodes.fate = func() (asked, answered bool) { return false, false }
		two := nodes.book("b")
		begun := time.Now()
		for range 10 {
			_, err := two.Reserve(t.Context(), claim)
			require.NoError(t, err)
		}
		require.Equal(t, 1, nodes.asks)
		require.Less(t, time.Since(begun), 100*time.Millisecond)
	})
}

// TestStoppingNodeGivesBack: what a node held is there after it has stopped, once,
// whatever becomes of the answers.
func TestStoppingNodeGivesBack(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.None, storetest.Refused, storetest.Lost, storetest.Broken, storetest.Applied} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			one := book(table, "a")
			reservation, err := one.Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
			require.NoError(t, err)
			reservation.Settle(300, "")
			calls := 0
			table.SetFault(func(_ string, write bool) storetest.Fault {
				if calls++; !write || calls%2 == 0 {
					return storetest.None
				}
				return lost // and its repetition arrives
			})
			one.GiveBack(t.Context())
			table.SetFault(nil)
			for next, tokens := range []int{589, 10} { // the first draws one token ahead
				_, err = book(table, fmt.Sprint("b", next)).Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: tokens})
				require.NoError(t, err, "fault %d", lost)
			}
			_, err = book(table, "c").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 1})
			require.True(t, fault.Is(err, fault.BudgetExhausted), "fault %d: %v", lost, err)
			time.Sleep(time.Minute)
		})
	}
}

// TestContinuingTurnReadsBeforeItWrites: the table limits writes harder than
// reads, and refuses a write by one who does not know the row.
func TestContinuingTurnReadsBeforeItWrites(t *testing.T) {
	for _, continues := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
			_, err := book(table, "a").Reserve(t.Context(), claim)
			require.NoError(t, err)
			commits, _ := table.Calls()
			require.Equal(t, 1, commits, "a first turn takes one call")
			claim.Continues = continues
			_, err = book(table, "b").Reserve(t.Context(), claim)
			require.NoError(t, err)
			commits, reads := table.Calls()
			require.Equal(t, 3, commits+reads)
			require.Equal(t, continues, reads == 1)
		})
	}
}

// TestNodeThatDoesNotKnowTheProgramAsksAround: while the table is down, a program
// goes on at a node that has never heard of it, but of the node that had it.
func TestNodeThatDoesNotKnowTheProgramAsksAround(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Silent, storetest.Refused, storetest.Broken} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes := newCluster(table)
			claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
			a, b := nodes.book("a"), nodes.book("b")
			for _, program := range []string{"p", "q", "other"} {
				claim.Program = program
				reservation, err := a.Reserve(t.Context(), claim)
				require.NoError(t, err)
				reservation.Settle(100, "w7")
			}
			_, err := b.Reserve(t.Context(), claim) // they meet over another program
			require.NoError(t, err)
			table.SetFault(func(string, bool) storetest.Fault { return down })
			claim.Program = "p"
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			begun := time.Now()
			reservation, err := b.Reserve(ctx, claim)
			require.NoError(t, err)
			require.Equal(t, "w7", reservation.Home)
			require.Equal(t, "a", reservation.Others[0].Process)
			require.Less(t, time.Since(begun), 200*time.Millisecond)

			claim.Program = "q"
			for _, kept := range []bool{true, false} {
				claim.Kept = kept // then its turn would run in vain
				ctx, cancel = context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, err = b.Reserve(ctx, claim)
				require.Equal(t, kept, fault.Is(err, fault.Unavailable), err)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestAskingAroundIsBounded: a node in trouble does not drown the others.
func TestAskingAroundIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		one := nodes.book("one")
		for node := range 100 {
			one.meet(Holder{Process: fmt.Sprint(node), Address: fmt.Sprint(node)})
		}
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		for turn := range 100 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, _ = one.Reserve(ctx, Claim{Program: fmt.Sprint("p", turn), Budget: 60_000, Tokens: 500})
			}()
		}
		time.Sleep(time.Second)
		nodes.mutex.Lock()
		defer nodes.mutex.Unlock()
		require.Positive(t, nodes.asks)
		require.LessOrEqual(t, nodes.asks, 2*aroundPerSecond*maxAround)
	})
}

// TestAnswerThatIsLostIsAskedForAgain: tokens that were handed over and did not
// arrive come with the next request, once.
func TestAnswerThatIsLostIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		a, b := nodes.book("a"), nodes.book("b")
		reservation, err := a.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(0, "")
		nodes.fate = func() (asked, answered bool) { return true, false }
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.True(t, fault.Is(err, fault.Unavailable), err)
		nodes.setFate(nil)
		time.Sleep(2 * time.Second)
		reservation, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.NoError(t, err, "no turn has run")
		reservation.Settle(289, "")
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 301})
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		time.Sleep(2 * time.Second)
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 300})
		require.NoError(t, err, "all that is left")
	})
}
