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

// Holder is a process that may hold tokens of a program. It is sent between nodes with
// gob, so its fields keep their names.
type Holder struct {
	Process string // unique name; other processes get it from the store or from each other
	Address string // address for requests from other nodes
}

// Zone returns the zone that the process runs in, empty if its name does not include one.
func (h Holder) Zone() string { return locality.ZoneOf(h.Process) }

// HandOverRequest asks a process for tokens that it holds and does not use. It is sent
// between nodes with gob, so its fields keep their names.
type HandOverRequest struct {
	Process string // addressee; another process at its address answers without tokens
	Program string
	Tokens  int
	From    Holder
	// Number identifies the request among those of the requester. A request that got no
	// answer is repeated with the same number and then returns the same tokens.
	Number uint64
	// Known holds the versions of the program's rows that the requester has, by share.
	// The answer includes newer rows.
	Known []store.Version
}

// HandOverAnswer transfers tokens to the requester. If the answer is lost, the tokens are
// kept for the repeated request. If either process crashes first, they are lost to the
// program, which can then spend less than its budget but never more. It is sent between
// nodes with gob, so its fields keep their names.
type HandOverAnswer struct {
	Tokens int
	Home   string   // worker of the program's newest turn as known to the answering process; empty if unknown
	Others []Holder // processes that received tokens from the answering process
	// Rows holds newer versions of the program's rows. It is set only if fewer tokens
	// were handed over than requested.
	Rows []KnownRow
}

// Peers sends requests to other processes.
type Peers interface {
	HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error)
}

const (
	// The timeout of a request follows the latency observed to the process, from
	// minRequestTimeout to maxRequestTimeout. A process that did not answer is not asked
	// again for unresponsiveBackoff.
	minRequestTimeout   = 40 * time.Millisecond
	maxRequestTimeout   = 200 * time.Millisecond
	unresponsiveBackoff = time.Second
	// unresponsiveGrace is how long a process may be unresponsive before the tokens that
	// it holds are considered lost.
	unresponsiveGrace = 4 * time.Second
	// maxRequestsPerTurn is how many processes a turn asks one after the other, and
	// maxHolders how many holders an account records.
	maxRequestsPerTurn = 4
	maxHolders         = 8
	// maxRecentPeers is how many recently seen processes a node records, and
	// maxBroadcastPeers how many of them a broadcast request goes to.
	maxRecentPeers    = 32
	maxBroadcastPeers = 16
	// broadcastsPerSecond limits the rate of broadcast requests.
	broadcastsPerSecond = 10
)

// tokenSources records which sources a turn has already tried and what they returned.
type tokenSources struct {
	askedProcesses []string // processes that were sent a request
	handedOver     bool     // some process handed tokens over
	locatorAsked   bool
	locatorFound   bool // the locator returned processes
	broadcastDone  bool // recent peers were asked
	ownerAnswered  bool
	granted        bool // the owner granted tokens
}

// requestFromHolders asks the processes that may hold tokens of the program, one after
// the other, until the turn has enough or maxRequestsPerTurn is reached. The caller holds
// account.sharesLock.
func (a *Accounts) requestFromHolders(ctx context.Context, account *account, tokens int, sources *tokenSources) {
	if a.options.Peers == nil {
		return
	}
	account.addHoldersFromRows()
	a.addPeers(account.knownHolders()...)
	for len(sources.askedProcesses) < maxRequestsPerTurn && ctx.Err() == nil {
		missing := account.shortfall(tokens)
		holder, found := a.nextHolder(account, sources)
		if missing <= 0 || !found {
			return
		}
		sources.askedProcesses = append(sources.askedProcesses, holder.Process)
		if a.requestFrom(ctx, account, holder, missing) {
			sources.handedOver = true
		}
	}
}

// requestFromLocated asks the processes that the locator returns, once a turn.
func (a *Accounts) requestFromLocated(ctx context.Context, account *account, tokens int, sources *tokenSources) (located Located) {
	if a.options.Locator == nil || sources.locatorAsked || account.shortfall(tokens) <= 0 {
		return Located{}
	}
	sources.locatorAsked = true
	located = a.options.Locator.Locate(ctx, account.program)
	for _, holder := range slices.Backward(located.Holders) { // newest last, as the account lists them
		account.addHolders(holder)
	}
	if len(located.Holders) > 0 {
		sources.locatorFound = true
		a.requestFromHolders(ctx, account, tokens, sources)
	}
	return located
}

// broadcastRequest asks recent peers in parallel, once a turn, when the store cannot say
// which of them ran the program. It keeps running programs going during a store outage.
func (a *Accounts) broadcastRequest(ctx context.Context, account *account, tokens int, sources *tokenSources) {
	missing := account.shortfall(tokens)
	if a.options.Peers == nil || sources.broadcastDone || missing <= 0 || !a.broadcastLimiter.Allow() {
		return
	}
	sources.broadcastDone = true
	var handed atomic.Bool
	var group errgroup.Group
	for _, holder := range a.reachablePeers(sources.askedProcesses) {
		sources.askedProcesses = append(sources.askedProcesses, holder.Process)
		group.Go(func() error {
			if a.requestFrom(ctx, account, holder, missing) {
				handed.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	sources.handedOver = sources.handedOver || handed.Load()
}

// addPeers records processes as recently seen.
func (a *Accounts) addPeers(holders ...Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, holder := range holders {
		if holder.Process != a.options.Self.Process {
			a.recentPeers = appendRecent(a.recentPeers, holder, maxRecentPeers)
		}
	}
}

// RecentPeers returns the recently seen processes that are not known to be unresponsive, at most
// maxBroadcastPeers: those in this process's region first, then the newest.
func (a *Accounts) RecentPeers() []Holder { return a.reachablePeers(nil) }

// reachablePeers is RecentPeers without the processes in asked.
func (a *Accounts) reachablePeers(asked []string) []Holder {
	a.mutex.Lock()
	nodes := slices.Clone(a.recentPeers)
	a.mutex.Unlock()
	slices.Reverse(nodes)
	nodes = slices.DeleteFunc(nodes, func(holder Holder) bool {
		return slices.Contains(asked, holder.Process) || a.isUnresponsive(holder)
	})
	locality.OwnRegionFirst(a.options.Location, nodes, Holder.Zone)
	return nodes[:min(len(nodes), maxBroadcastPeers)]
}

// nextHolder returns the first responsive holder that this turn has not asked.
func (a *Accounts) nextHolder(account *account, sources *tokenSources) (Holder, bool) {
	for _, holder := range a.responsiveHolders(account) {
		if !slices.Contains(sources.askedProcesses, holder.Process) {
			return holder, true
		}
	}
	return Holder{}, false
}

// responsiveHolders returns the other processes that may hold tokens and are not known to
// be unresponsive: those in this process's region first, then the newest.
func (a *Accounts) responsiveHolders(account *account) []Holder {
	holders := account.knownHolders()
	slices.Reverse(holders)
	locality.OwnRegionFirst(a.options.Location, holders, Holder.Zone)
	return slices.DeleteFunc(holders, func(holder Holder) bool {
		return holder.Process == a.options.Self.Process || a.isUnresponsive(holder)
	})
}

// requestFrom asks one process and reports whether it handed tokens over.
func (a *Accounts) requestFrom(ctx context.Context, account *account, holder Holder, missing int) bool {
	limited, cancel := context.WithTimeout(ctx, a.options.ResponseTimes.For(holder.Process, minRequestTimeout, maxRequestTimeout))
	defer cancel()
	answer, err := a.options.Peers.HandOver(limited, holder.Address, HandOverRequest{
		Process: holder.Process,
		Program: account.program,
		Tokens:  missing,
		From:    a.options.Self,
		Number:  account.requestNumberFor(holder, a.lastRequestNumber.Add(1)),
		Known:   account.knownVersions(),
	})
	if err != nil {
		if ctx.Err() == nil { // a cancelled turn does not mean that the process is unresponsive
			a.markUnresponsive(holder, limited.Err() != nil)
		}
		return false
	}
	a.markResponsive(holder)
	account.markAnswered(holder)
	account.addFree(answer.Tokens)
	account.setLastWorker(answer.Home)
	account.addHolders(answer.Others...)
	account.addHints(answer.Rows)
	if answer.Tokens == 0 {
		return false
	}
	account.addHolders(holder)
	return true
}

// HandOver transfers free tokens of this node to the requesting process.
func (a *Accounts) HandOver(ctx context.Context, request HandOverRequest) HandOverAnswer {
	if request.Process != a.options.Self.Process || request.Tokens <= 0 {
		return HandOverAnswer{}
	}
	a.addPeers(request.From)
	a.mutex.Lock()
	account, ok := a.accounts[request.Program]
	a.mutex.Unlock()
	if !ok {
		return HandOverAnswer{}
	}
	if account.shortfall(request.Tokens) > 0 {
		a.resolveInDoubt(ctx, account)
	}
	return account.handOver(request)
}

// resolveInDoubt reads the rows with transactions in doubt to find out which of them took
// effect. It does nothing if sharesLock is held.
func (a *Accounts) resolveInDoubt(ctx context.Context, account *account) {
	select {
	case account.sharesLock <- struct{}{}:
	default:
		return
	}
	defer func() { <-account.sharesLock }()
	ctx, cancel := context.WithTimeout(ctx, minRequestTimeout/2)
	defer cancel()
	for _, share := range account.shares {
		if len(share.inDoubt) == 0 {
			continue
		}
		if found, err := share.read(ctx, a.options.Store); err == nil {
			account.addFree(found.drawn)
		}
	}
}

// handOver gives the requester the tokens that it lacks and half of the rest, since the
// program's next turn may come through either node.
func (a *account) handOver(request HandOverRequest) HandOverAnswer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if last, ok := a.lastAnswers[request.From.Process]; ok && last.number == request.Number {
		return last.answer
	}
	given := min(a.free, request.Tokens+max(0, a.free-request.Tokens)/2)
	a.free -= given
	answer := HandOverAnswer{Tokens: given, Home: a.lastWorker, Others: slices.Clone(a.recipients)}
	if given < request.Tokens {
		answer.Rows = newerRows(a.publishedRows, request.Known)
	}
	if given > 0 {
		a.recipients = appendRecent(a.recipients, request.From, maxHolders)
		a.holders = appendRecent(a.holders, request.From, maxHolders)
	}
	if a.lastAnswers == nil {
		a.lastAnswers = map[string]numberedAnswer{}
	}
	a.lastAnswers[request.From.Process] = numberedAnswer{number: request.Number, answer: answer}
	return answer
}

// numberedAnswer is the last answer to a process, with the number of its request.
type numberedAnswer struct {
	number uint64
	answer HandOverAnswer
}

// requestNumberFor returns the number of the next request to a holder: that of the last
// one if it got no answer, else next.
func (a *account) requestNumberFor(holder Holder, next uint64) uint64 {
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

// markAnswered records that the holder answered its last request.
func (a *account) markAnswered(holder Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.unanswered, holder.Process)
}

// knownHolders returns the processes that may hold tokens, newest last.
func (a *account) knownHolders() []Holder {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.holders)
}

// addHolders records processes that may hold tokens as the newest.
func (a *account) addHolders(holders ...Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, holder := range holders {
		a.holders = appendRecent(a.holders, holder, maxHolders)
	}
}

// addHoldersFromRows adds the processes named in the rows. The caller holds sharesLock.
func (a *account) addHoldersFromRows() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, share := range a.shares {
		for process, held := range share.row.Holders {
			holder := Holder{Process: process, Address: held.Address}
			if !slices.Contains(a.holders, holder) {
				a.holders = appendRecent(a.holders, holder, maxHolders)
			}
		}
		if newest, ok := share.row.Holders[share.row.Newest]; ok {
			a.holders = appendRecent(a.holders, Holder{Process: share.row.Newest, Address: newest.Address}, maxHolders)
		}
	}
}

// appendRecent moves or adds a holder to the end of the list. If the list then has more
// than limit entries, it drops the oldest.
func appendRecent(list []Holder, holder Holder, limit int) []Holder {
	list = slices.DeleteFunc(list, func(known Holder) bool { return known == holder })
	if len(list) == limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, holder)
}
