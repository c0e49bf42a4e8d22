// Package id defines the typed identifiers that all packages share, and the hash functions that
// map them to shards and owners.
package id

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

type (
	// Program identifies an agent program. The identifier of a sub-agent is that of its parent, a
	// dot and a suffix, so that a whole tree of agents hashes to one shard.
	Program string
	// Tenant identifies a customer of the operator.
	Tenant string
	// Template identifies a template defined by the operator.
	Template string
	// Node identifies a cloverwheel process. It stays the same across restarts.
	Node string
	// Worker identifies a model backend.
	Worker string
	// Model identifies a model that backends serve.
	Model string
	// Adapter identifies a fine-tuned adapter of a model; empty means none.
	Adapter string
	// Shard is the number of a replication group, counted from 0.
	Shard uint32
	// Incarnation distinguishes the runs of one node. It is random at each start, because a node
	// has no disk and loses all its state and commitments on a restart.
	Incarnation uint64
	// Request identifies one attempt of one call to an engine or a tool.
	Request string
)

// subAgentSeparator separates a parent's identifier from a sub-agent's suffix.
const subAgentSeparator = "."

// NewProgram returns a fresh root program identifier.
func NewProgram() Program { return Program("p-" + uuid.NewString()) }

// NewSubAgent returns a fresh identifier for a sub-agent of parent.
func NewSubAgent(parent Program) Program {
	return parent + subAgentSeparator + Program(uuid.NewString()[:8])
}

// Root returns the program at the top of p's tree, which is p itself for a root.
func (p Program) Root() Program {
	root, _, _ := strings.Cut(string(p), subAgentSeparator)
	return Program(root)
}

// NewRequest returns the identifier of an attempt of a program's call. Attempts count from 1.
func NewRequest(program Program, call uint64, attempt int) Request {
	return Request(string(program) + "/" + strconv.FormatUint(call, 10) + "/" + strconv.Itoa(attempt))
}

// Parts returns the arguments of NewRequest. ok is false if r is not of that form.
func (r Request) Parts() (program Program, call uint64, attempt int, ok bool) {
	name, rest, _ := strings.Cut(string(r), "/")
	number, last, _ := strings.Cut(rest, "/")
	call, callErr := strconv.ParseUint(number, 10, 64)
	attempt, attemptErr := strconv.Atoi(last)
	return Program(name), call, attempt, callErr == nil && attemptErr == nil
}

// Program returns the program that the request belongs to.
func (r Request) Program() Program {
	program, _, _ := strings.Cut(string(r), "/")
	return Program(program)
}

// ShardOfProgram maps a program, by its root, to one of count shards.
func ShardOfProgram(p Program, count uint32) Shard {
	return Shard(xxhash.Sum64String("program:"+string(p.Root())) % uint64(count))
}

// ShardOfTenant maps a tenant's ledger to one of count shards.
func ShardOfTenant(t Tenant, count uint32) Shard {
	return Shard(xxhash.Sum64String("tenant:"+string(t)) % uint64(count))
}

// ShardOfWorker maps a worker's ownership record to one of count shards.
func ShardOfWorker(w Worker, count uint32) Shard {
	return Shard(xxhash.Sum64String("worker:"+string(w)) % uint64(count))
}

// Score returns the rendezvous hashing weight of candidate for key; the highest wins.
func Score(key, candidate string) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate)
}

// Rank orders candidates for key by rendezvous hashing, best first. Removing a candidate does not
// change the order of the others.
func Rank[C ~string](key string, candidates []C) []C {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b C) int {
		if order := cmp.Compare(Score(key, string(b)), Score(key, string(a))); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return ranked
}
