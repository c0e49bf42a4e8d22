package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/bits"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Constants of the 64-bit xxHash, by which turns are spread over parts of the store.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// xxhash returns the 64-bit xxHash of a text of under 32 bytes.
func xxhash(text string) uint64 {
	data := []byte(text)
	hash := prime5 + uint64(len(data))
	for ; len(data) >= 8; data = data[8:] {
		hash ^= bits.RotateLeft64(binary.LittleEndian.Uint64(data)*prime2, 31) * prime1
		hash = bits.RotateLeft64(hash, 27)*prime1 + prime4
	}
	if len(data) >= 4 {
		hash ^= uint64(binary.LittleEndian.Uint32(data)) * prime1
		hash = bits.RotateLeft64(hash, 23)*prime2 + prime3
		data = data[4:]
	}
	for _, one := range data {
		hash ^= uint64(one) * prime5
		hash = bits.RotateLeft64(hash, 11) * prime1
	}
	hash ^= hash >> 33
	hash *= prime2
	hash ^= hash >> 29
	hash *= prime3
	return hash ^ hash>>32
}

// parts returns the two of 64 parts of the store in which a turn may be kept.
func parts(id string) [2]uint64 {
	hash := xxhash(id)
	return [2]uint64{hash % 64, (hash + 1 + (hash>>32)%63) % 64}
}

// attemptIDs returns the ids of two client attempts, of which the second is the first with "-2" behind it. Of 32 such pairs, one on
// average has its second turn kept where the first is looked for; this returns such a pair.
func attemptIDs() (first, second string) {
	for {
		first = newID()
		second = first + "-2"
		if places := parts(first); parts(second)[0] == places[0] {
			return first, second
		}
	}
}

// tornTurn: a node is killed in the middle of a turn's answer. The client sends the turn anew under an id of its own, which is answered
// whole. A further turn names the first id, of which there is no turn.
func tornTurn(s *system) (broken bool, err error) {
	if err := s.startStore(configuration(7, dialogRoute(false))); err != nil {
		return false, err
	}
	pause := func(*http.Request, int) time.Duration { return 60 * time.Millisecond }
	if err := s.addWorkers("huvo11a", 0, 2, 12, streamAnswer(pause)); err != nil {
		return false, err
	}
	if err := s.addNodes(2); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	first, second := attemptIDs()
	c := &conversation{name: "torn", program: "3fa81c"}
	input := text("torn", shortInputBytes)
	q := c.turn("", input)
	q.id = first
	answers := make(chan answer, 1)
	go func() { answers <- s.send(s.nodes[0], q) }()
	time.Sleep(250 * time.Millisecond)
	if s.trouble {
		s.nodes[0].signal(syscall.SIGKILL)
	}
	got := <-answers
	s.note("first attempt %s: %s; events: %d of %d", first, got.describe(), strings.Count(string(got.body), "data: "), streamEvents)
	exists := got.isWholeStream(first)
	if exists == s.trouble {
		return false, errors.New("the first attempt did not end as planned")
	}
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		again := c.turn("", input)
		again.id = second
		got = s.send(s.nodes[1], again)
		s.note("sent anew as %s: %s", second, got.describe())
		if !got.isWholeStream(second) {
			return false, errors.New("the turn sent anew was not answered whole")
		}
	}
	further := []byte("and what of the next lot?\n")
	for try := range 3 {
		next := c.turn(first, further)
		got = s.send(s.nodes[1], next)
		s.note("turn %s, Previous-Turn %s, to %s: %s", next.id, first, s.nodes[1].name, got.describe())
		want := sha256.Sum256(append(append(append([]byte{}, input...), streamOutput(first)...), further...))
		for _, ran := range allRuns(s.workers, next.id) {
			switch {
			case !exists:
				s.note("a worker ran it with a body of %d bytes, though no turn %s was ever answered whole", ran.bodyBytes, first)
				broken = true
			case ran.bodyHash != hex.EncodeToString(want[:8]):
				s.note("a worker ran it with a wrong body of %d bytes", ran.bodyBytes)
				broken = true
			default:
				s.note("a worker ran it with the right body")
			}
		}
		if got.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(time.Duration(try+1) * 200 * time.Millisecond)
	}
	if s.trouble { // a name of no turn at all is refused
		next := c.turn(newID(), further)
		s.note("turn %s after a turn that never was: %s", next.id, s.send(s.nodes[1], next).describe())
		if len(allRuns(s.workers, next.id)) > 0 {
			return false, fmt.Errorf("a turn after one that never was ran")
		}
	}
	noteRuns(s)
	return broken, nil
}
