package budget

import (
	"context"
	"slices"
	"time"
)

// Holder is a process that may hold tokens of a program.
type Holder struct {
	Process string // unique to it; whoever names it has read the table
	Address string // where it answers other nodes
}

// HandOverRequest asks a process for tokens that it holds and does not use.
type HandOverRequest struct {
	Process string // that is asked; another one at its address hands nothing over
	Program string
	Tokens  int
	From    Holder
}

// HandOverAnswer brings tokens. They are the asker's from now on, and lost to the
// program if the answer does not arrive: too little is spent then, never too much.
type HandOverAnswer struct {
	Tokens int
	Home   string   // worker of the program's newest turn at the process asked; empty if unknown
	Others []Holder // processes that got tokens from this one
}

// Peers asks other nodes.
type Peers interface {
	HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error)
}

const (
	// askWait is how long another node is waited for, and silentFor how long one
	// that did not answer is not asked again.
	askWait   = 40 * time.Millisecond
	silentFor = time.Second
	// maxAsked bounds how many nodes a turn asks, and maxHolders how many an
	// account remembers.
	maxAsked   = 4
	maxHolders = 8
)

// inquiry is one turn's asking around.
type inquiry struct {
	asked  []string // processes
	handed bool     // tokens came of it
}

// ask asks the nodes that may hold tokens of the program, the newest first, until
// the turn has its own. The caller holds the account's turn.
func (b *Book) ask(ctx context.Context, account *account, tokens int, inquiry *inquiry) {
	if b.options.Peers == nil {
		return
	}
	account.learnHolders()
	for len(inquiry.asked) < maxAsked && ctx.Err() == nil {
		lacking := account.lacks(tokens)
		holder, found := b.nextHolder(account, inquiry)
		if lacking <= 0 || !found {
			return
		}
		inquiry.asked = append(inquiry.asked, holder.Process)
		b.askOne(ctx, account, holder, lacking, inquiry)
	}
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
// silent, the newest first.
func (b *Book) others(account *account) []Holder {
	account.mutex.Lock()
	holders := slices.Clone(account.holders)
	account.mutex.Unlock()
	slices.Reverse(holders)
	return slices.DeleteFunc(holders, func(holder Holder) bool {
		return holder.Process == b.options.Self.Process || b.isSilent(holder)
	})
}

func (b *Book) askOne(ctx context.Context, account *account, holder Holder, lacking int, inquiry *inquiry) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	answer, err := b.options.Peers.HandOver(ctx, holder.Address, HandOverRequest{
		Process: holder.Process,
		Program: account.program,
		Tokens:  lacking,
		From:    b.options.Self,
	})
	if err != nil {
		b.noteSilent(holder)
		return
	}
	account.add(answer.Tokens)
	account.setHome(answer.Home)
	account.noteHolders(answer.Others...)
	inquiry.handed = inquiry.handed || answer.Tokens > 0
}

func (b *Book) isSilent(holder Holder) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	since, ok := b.silent[holder.Process]
	return ok && time.Since(since) < silentFor
}

func (b *Book) noteSilent(holder Holder) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.silent[holder.Process] = time.Now()
}

// HandOver lets go of tokens that this node does not use, for another one.
func (b *Book) HandOver(ctx context.Context, request HandOverRequest) HandOverAnswer {
	if request.Process != b.options.Self.Process || request.Tokens <= 0 {
		return HandOverAnswer{}
	}
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
	given := min(a.free, request.Tokens+max(0, a.free-request.Tokens)/2)
	a.free -= given
	answer := HandOverAnswer{Tokens: given, Home: a.home, Others: slices.Clone(a.takers)}
	if given > 0 {
		a.takers = remember(a.takers, request.From)
		a.holders = remember(a.holders, request.From)
	}
	return answer
}

// noteHolders remembers processes that may hold tokens, as the newest.
func (a *account) noteHolders(holders ...Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, holder := range holders {
		a.holders = remember(a.holders, holder)
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
				a.holders = remember(a.holders, holder)
			}
		}
		if newest, ok := share.known.Holders[share.known.Newest]; ok {
			a.holders = remember(a.holders, Holder{Process: share.known.Newest, Address: newest.Address})
		}
	}
}

// remember puts a holder at the end of a short list.
func remember(list []Holder, holder Holder) []Holder {
	list = slices.DeleteFunc(list, func(known Holder) bool { return known == holder })
	if len(list) == maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, holder)
}
