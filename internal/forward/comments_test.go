package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// commenting is a worker that sends a comment before and after each of three events, and several in the place of an event.
func commenting(_ context.Context, call Call) (*Answer, error) {
	body := ": waiting\n\n" + event(1) + ": waiting\n\n:\n\nretry: 100\n\n" + event(2) + ": waiting\n\n" + event(3) + ": done\n\n"
	return answer(http.StatusOK, true, strings.NewReader(body)), nil
}

// Guards against comments of a stream that are stored as lines of the conversation (UNASKED), or counted as events: a turn would end early, and
// its tokens be paid twice.
func TestCommentsAreNoEvents(t *testing.T) {
	f := storedFixture(t)
	f.worker("w1", commenting)
	got := f.serve(t.Context(), func(r *Request) { r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 60, 30 })
	require.True(t, got.ended, "%v", got.refusal)
	require.Equal(t, 9, strings.Count(got.body.String(), "\n\n"), "the client gets all of the stream")
	next := func(r *Request) {
		continues("r3", "r1")(r)
		r.TokenBudget, r.MaxOutputTokens = 60, 30
	}
	got = f.serve(t.Context(), next)
	require.True(t, got.ended, "%v", got.refusal)
	sent := f.sent()
	require.Equal(t, "int1\nt2\nt3\nnext", sent[len(sent)-1].body)
}
