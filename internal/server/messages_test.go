package server

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
)

// goldenMessages are messages between nodes as encoded by released builds. A changed message gets
// an additional file; existing files stay as they are.
func goldenMessages() map[string]any {
	holder := budget.Holder{Process: "p1", Address: "10.0.0.1:7380"}
	row := store.Row{Key: store.Key{Table: "op", Part: "", Name: "config"}, Value: []byte("{}"), Version: 7}
	return map[string]any{
		methodLocate + "-request-1":      directory.Request{Process: "p2", Program: "a", From: holder, Spent: 3, Returned: true, Slot: 4},
		methodLocate + "-answer-1":       directory.Answer{Owner: true, Located: budget.Located{Holders: []budget.Holder{holder}, Spent: 3, SpentAgo: time.Second}},
		methodLocate + "-request-2":      directory.Request{Process: "p2", Program: "a", From: holder, Ran: "t2", After: "t1"},
		methodLocate + "-answer-2":       directory.Answer{Owner: true, Located: budget.Located{Holders: []budget.Holder{holder}}, RanBy: holder},
		methodGrant + "-request-1":       directory.GrantRequest{Process: "p2", Program: "a", Tokens: 100, From: holder, Number: 9},
		methodProof + "-request-1":       proofRequest{Revision: 7},
		methodProof + "-answer-1":        proofAnswer{Proof: staleness.Proof{Revision: 7, Age: time.Second}, Row: row, Evacuations: evacuation.Snapshot{}},
		methodCommit + "-request-1":      commitRequest{Process: "p2", Transaction: store.Transaction{Conditions: []store.Condition{{Key: row.Key, Version: 7}}, Put: []store.Row{row}, Remove: []store.Key{row.Key}}},
		methodHandOver + "-answer-1":     budget.HandOverAnswer{},
		methodGroupCommit + "-request-1": groupcommit.Request{Process: "p2", Group: 3, Rows: []store.Row{row}, Within: time.Second, Again: true},
		methodGroupCommit + "-answer-1":  groupcommit.Answer{Owner: true, Outcome: groupcommit.OutcomeStored, Short: true, Throttled: true, Expect: time.Second, Took: time.Millisecond},
		methodCapacity + "-request-1": capacity.Request{Process: "p2", Passed: true, Report: capacity.Report{
			From: "p1", Sequence: 9, Group: capacity.Group{Service: "s", Zone: "a", Number: 1}, Running: []capacity.Running{{Worker: "w@1", Requests: 2, Tokens: 300}},
			Lasts: time.Second, Pending: []uint64{8}, Ended: 3, Held: time.Second, Declined: []string{"x@1"},
		}, Ask: &capacity.Ask{Home: "w@1", Fresh: 100, Tokens: 200, Exclude: []string{"y@1"}, Patience: time.Millisecond, Program: scheduling.Program{Key: "k", Timed: true, Finish: time.Second}}},
		methodRecordStreams + "-request-1": streamorigin.RecordRequest{Entries: []streamorigin.Entry{{Stream: 7, Origin: streamorigin.Origin{Service: "s", Version: "v1", Worker: "w@1"}}}},
		methodRecordStreams + "-answer-1":  streamorigin.RecordAnswer{Recorded: 1},
		methodFindStream + "-request-1":    streamorigin.FindRequest{Stream: 7},
		methodFindStream + "-answer-1":     streamorigin.FindAnswer{Found: true, Origin: streamorigin.Origin{Service: "s", Version: "v1", Worker: "w@1"}},
		methodShareQuarantine + "-request-1": quarantine.ShareRequest{
			From:       "p2",
			Entries:    []quarantine.Entry{{Key: 7, State: quarantine.State{Generation: 2, Ends: 3, Trials: 1}, Age: time.Second}},
			Claims:     []quarantine.Claim{{Key: 7, Worker: "w@1", Node: 5, Number: 9, Held: true}},
			Subscriber: holder, Digest: 11,
		},
		methodShareQuarantine + "-answer-1": quarantine.ShareAnswer{Digest: 11, Entries: []quarantine.Entry{{Key: 7, State: quarantine.State{Ends: 1}, Age: time.Second}}},
		methodCapacity + "-answer-1":        capacity.Answer{Keeper: true, Outcome: capacity.OutcomeAssigned, Worker: "w@1", After: time.Second, Reason: capacity.ReasonHome, Busy: 0.5, Settled: true, Waiting: 2, HeldFor: time.Millisecond},
	}
}

func goldenMessageFile(name string) string { return filepath.Join("testdata", "messages", name) }

// Guards against messages that nodes of an older build can no longer exchange with this one.
func TestDecodesMessagesOfReleasedBuilds(t *testing.T) {
	for name, want := range goldenMessages() {
		payload, err := os.ReadFile(goldenMessageFile(name))
		require.NoError(t, err)
		read := reflect.New(reflect.TypeOf(want))
		require.NoError(t, peer.Decode(payload, read.Interface()), name)
		require.Equal(t, want, read.Elem().Interface(), name)
	}
}

// Guards against rejecting messages of a newer build, which may contain additional fields at any
// depth.
func TestDecodesMessagesWithUnknownFields(t *testing.T) {
	type laterHolder struct {
		Process string
		Address string
		Added   int
	}
	later := struct {
		Process  string
		Program  string
		From     laterHolder
		Spent    int
		Returned bool
		Slot     int
		Added    map[string][]byte
	}{"p2", "a", laterHolder{"p1", "10.0.0.1:7380", 5}, 3, true, 4, map[string][]byte{"x": {1}}}
	payload, err := peer.Encode(later)
	require.NoError(t, err)
	var read directory.Request
	require.NoError(t, peer.Decode(payload, &read))
	require.Equal(t, goldenMessages()[methodLocate+"-request-1"], read)
}
