package budget

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Holder is a process that may hold tokens of a program.
type Holder struct {
	Process string // unique to it; whoever names it has read the table
	Address string // where it answers other nodes
}

// Zone is where the process runs; empty if its name does not tell.
func (h Holder) Zone() string { return locality.ZoneOf(h.Process) }

// HandOverRequest asks a process for tokens that it holds and does not use.
type HandOverRequest struct {
	Process string // that is asked; another one at its address hands nothing over
	Program string
	Tokens  int
	From    Holder
	// Number tells this request from all others of the asker. One that got no
	// answer is asked again by the same number, and brings the same tokens.
	Number uint64
	// Known are the versions of the program's rows that the asker knows: it is told newer ones.
	Known []store.Version
}

// HandOverAnswer brings tokens. They are the asker's from now on. If the answer
// does not arrive, they wait for the request to be repeated; if either process
// dies first they are lost to the program: too little is spent then, never too much.
type HandOverAnswer struct {
	Tokens int
	Home   string   // worker of the program's newest turn at the process asked; empty if unknown
	Others []Holder // processes that got tokens from this one
	// Rows are what the process knows better of the program's rows, if it gave less than was asked for.
	Rows []KnownRow
}

// Peers asks other nodes.
type Peers interface {
	HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error)
}

const (
	// Another node is waited for as long as answers from its place are seen to take, from
	// askWait to longestAskWait. One that did not answer is not asked again for silentFor.
	askWait        = 40 * time.Millisecond
	longestAskWait = 200 * time.Millisecond
	silentFor      = time.Second
	// forgetSilence is after how long without a word the tokens of a silent node are
	// given up.
	forgetSilence = 4 * time.Second
	// maxAsked bounds how many nodes a turn asks, and maxHolders how many an
	// account remembers.
	maxAsked   = 4
	maxHolders = 8
	// maxNodes is how many processes a node remembers to have met, and maxAround
	// how many of them it asks at once when the table is out of reach.
	maxNodes  = 32
	maxAround = 16
	// aroundPerSecond bounds how often it does so.
	aroundPerSecond = 10
)

// inquiry is one turn's asking around.
type inquiry struct {
	asked   []string // processes
	handed  bool     // tokens came of it
	located bool     // the locator was asked
	named   bool     // and named processes
	around  bool     // all nodes met lately were asked
	owner   bool     // the owner has answered
	granted bool     // and granted tokens
}

// ask asks the nodes that may hold tokens of the program, the newest first, until
// the turn has its own. The caller holds the account's turn.
func (b *Book) ask(ctx context.Context, account *account, tokens int, inquiry *inquiry) {
	if b.options.Peers == nil {
		return
	}
	account.learnHolders()
	b.meet(account.known()...)
	for len(inquiry.asked) < maxAsked && ctx.Err() == nil {
		lacking := account.lacks(tokens)
		holder, found := b.nextHolder(account, inquiry)
		if lacking <= 0 || !found {
			return
		}
		inquiry.asked = append(inquiry.asked, holder.Process)
		if b.askOne(ctx, account, holder, lacking) {
			inquiry.handed = true
		}
	}
}

// locate asks the nodes that the locator names, once in an inquiry.
func (b *Book) locate(ctx context.Context, account *account, tokens int, inquiry *inquiry) (located Located) {
	if b.options.Locator == nil || inquiry.located || account.lacks(tokens) <= 0 {
		return Located{}
	}
	inquiry.located = true
	located = b.options.Locator.Locate(ctx, account.program)
	for _, holder := range slices.Backward(located.Holders) { // an account notes the newest last
		account.noteHolders(holder)
	}
	if len(located.Holders) > 0 {
		inquiry.named = true
		b.ask(ctx, account, tokens, inquiry)
	}
	return located
}

// askAround asks the nodes met lately, all at once, when the table does not say
// which of them had the program: programs under way go on while it is down.
func (b *Book) askAround(ctx context.Context, account *account, tokens int, inquiry *inquiry) {
	lacking := account.lacks(tokens)
	if b.options.Peers == nil || inquiry.around || lacking <= 0 || !b.around.Allow() {
		return
	}
	inquiry.around = true
	var handed atomic.Bool
	var group errgroup.Group
	for _, holder := range b.met(inquiry.asked) {
		inquiry.asked = append(inquiry.asked, holder.Process)
		group.Go(func() error {
			if b.askOne(ctx, account, holder, lacking) {
				handed.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	inquiry.handed = inquiry.handed || handed.Load()
}

// meet remembers other processes.
func (b *Book) meet(holders ...Holder) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, holder := range holders {
		if holder.Process != b.options.Self.Process {
			b.nodes = remember(b.nodes, holder, maxNodes)
		}
	}
}

// Met lists the processes met lately and not known to be silent, those of this process's
// region first, else the newest.
func (b *Book) Met() []Holder { return b.met(nil) }

// met lists the processes met lately, but those asked already and those that are
// silent, in the order of Met.
func (b *Book) met(asked []string) []Holder {
	b.mutex.Lock()
	nodes := slices.Clone(b.nodes)
	b.mutex.Unlock()
	slices.Reverse(nodes)
	nodes = slices.DeleteFunc(nodes, func(holder Holder) bool {
		return slices.Contains(asked, holder.Process) || b.isSilent(holder)
	})
	locality.NearFirst(b.options.Vantage, nodes, Holder.Zone)
	return nodes[:min(len(nodes), maxAround)]
}

// nextHolder finds one that was not asked and is not known to be silent.
func (b *Book) nextHolder(account *account, inquiry *inquiry) (Holder, bool) {
	for _, holder := range b.others(account) {
		if !slices.Contains(inquiry.asked, holder.Process) {
			return holder, true
		}
	}
	return Holder{}, false
}

// others lists the other processes that may hold tokens and are not known to be
// silent, those of this process's region first, else the newest.
func (b *Book) others(account *account) []Holder {
	holders := account.known()
	slices.Reverse(holders)
	locality.NearFirst(b.options.Vantage, holders, Holder.Zone)
	return slices.DeleteFunc(holders, func(holder Holder) bool {
		return holder.Process == b.options.Self.Process || b.isSilent(holder)
	})
}

// askOne asks one node. It reports whether that handed tokens over.
func (b *Book) askOne(ctx context.Context, account *account, holder Holder, lacking int) bool {
	limited, cancel := context.WithTimeout(ctx, b.options.Patience.Of(holder.Process, askWait, longestAskWait))
	defer cancel()
	answer, err := b.options.Peers.HandOver(limited, holder.Address, HandOverRequest{
		Process: holder.Process,
		Program: account.program,
		Tokens:  lacking,
		From:    b.options.Self,
		Number:  account.numberFor(holder, b.asks.Add(1)),
		Known:   account.versions(),
	})
	if err != nil {
		if ctx.Err() == nil { // else the turn broke off: it says nothing of the node
			b.noteSilent(holder, limited.Err() != nil)
		}
		return false
	}
	b.noteHeard(holder)
	account.answered(holder)
	account.add(answer.Tokens)
	account.setHome(answer.Home)
	account.noteHolders(answer.Others...)
	account.noteTold(answer.Rows)
	if answer.Tokens == 0 {
		return false
	}
	account.noteHolders(holder)
	return true
}

// HandOver lets go of tokens that this node does not use, for another one.
func (b *Book) HandOver(ctx context.Context, request HandOverRequest) HandOverAnswer {
	if request.Process != b.options.Self.Process || request.Tokens <= 0 {
		return HandOverAnswer{}
	}
	b.meet(request.From)
	b.mutex.Lock()
	account, ok := b.accounts[request.Program]
	b.mutex.Unlock()
	if !ok {
		return HandOverAnswer{}
	}
	if account.lacks(request.Tokens) > 0 {
		b.learnUnsure(ctx, account)
	}
	return account.handOver(request)
}

// learnUnsure finds out what transactions of unknown effect have drawn, unless
// the account is in use.
func (b *Book) learnUnsure(ctx context.Context, account *account) {
	select {
	case account.turn <- struct{}{}:
	default:
		return
	}
	defer func() { <-account.turn }()
	ctx, cancel := context.WithTimeout(ctx, askWait/2)
	defer cancel()
	for _, share := range account.shares {
		if len(share.unsure) == 0 {
			continue
		}
		if found, err := share.read(ctx, b.options.Store); err == nil {
			account.add(found.drawn)
		}
	}
}

// handOver gives the asker what it lacks and half of the rest: the program's next
// turn may come through either node.
func (a *account) handOver(request HandOverRequest) HandOverAnswer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if last, ok := a.given[request.From.Process]; ok && last.number == request.Number {
		return last.answer
	}
	given := min(a.free, request.Tokens+max(0, a.free-request.Tokens)/2)
	a.free -= given
	answer := HandOverAnswer{Tokens: given, Home: a.home, Others: slices.Clone(a.takers)}
	if given < request.Tokens {
		answer.Rows = newer(a.rows, request.Known)
	}
	if given > 0 {
		a.takers = remember(a.takers, request.From, maxHolders)
		a.holders = remember(a.holders, request.From, maxHolders)
	}
	if a.given == nil {
		a.given = map[string]handed{}
	}
	a.given[request.From.Process] = handed{number: request.Number, answer: answer}
	return answer
}

// handed is the newest answer to a process.
type handed struct {
	number uint64
	answer HandOverAnswer
}

// numberFor is the number of a request to a holder: that of the last one, if it
// got no answer, else the one given.
func (a *account) numberFor(holder Holder, next uint64) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if number, ok := a.unanswered[holder.Process]; ok {
		return number
	}
	if a.unanswered == nil {
		a.unanswered = map[string]uint64{}
	}
	a.unanswered[holder.Process] = next
	return next
}

// answered notes that a holder has answered.
func (a *account) answered(holder Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.unanswered, holder.Process)
}

// known lists the processes that may hold tokens, the newest last.
func (a *account) known() []Holder {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.holders)
}

// noteHolders remembers processes that may hold tokens, as the newest.
func (a *account) noteHolders(holders ...Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, holder := range holders {
		a.holders = remember(a.holders, holder, maxHolders)
	}
}

// learnHolders takes over the processes that the rows name. The caller holds the
// turn.
func (a *account) learnHolders() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, share := range a.shares {
		for process, held := range share.known.Holders {
			holder := Holder{Process: process, Address: held.Address}
			if !slices.Contains(a.holders, holder) {
				a.holders = remember(a.holders, holder, maxHolders)
			}
		}
		if newest, ok := share.known.Holders[share.known.Newest]; ok {
			a.holders = remember(a.holders, Holder{Process: share.known.Newest, Address: newest.Address}, maxHolders)
		}
	}
}

// remember puts a holder at the end of a list of at most so many.
func remember(list []Holder, holder Holder, most int) []Holder {
	list = slices.DeleteFunc(list, func(known Holder) bool { return known == holder })
	if len(list) == most {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, holder)
}
