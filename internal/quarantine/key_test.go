package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against work that is not recognized at its client's next try, and against work that is taken for another's.
func TestKeysFollowTheWorkAndNothingElse(t *testing.T) {
	work := Work{Tenant: "a", Program: "p", Method: "POST", Host: "h", Target: "/x", Prompt: "one:1", PreviousTurn: "t", Body: []byte("in")}
	again := work
	again.Body = []byte("in")
	require.Equal(t, KeysOf(work), KeysOf(again))
	for name, change := range map[string]func(*Work){
		"tenant":        func(w *Work) { w.Tenant = "b" },
		"method":        func(w *Work) { w.Method = "PUT" },
		"host":          func(w *Work) { w.Host = "g" },
		"target":        func(w *Work) { w.Target = "/y" },
		"prompt":        func(w *Work) { w.Prompt = "two:1" },
		"previous turn": func(w *Work) { w.PreviousTurn = "s" },
		"body":          func(w *Work) { w.Body = []byte("i") },
		"split":         func(w *Work) { w.Host, w.Target = "h/", "x" },
	} {
		t.Run(name, func(t *testing.T) {
			other := work
			change(&other)
			require.NotEqual(t, KeysOf(work).Content, KeysOf(other).Content)
			require.NotEqual(t, KeysOf(work).Turn, KeysOf(other).Turn)
		})
	}
	other := work
	other.Program = "q"
	require.Equal(t, KeysOf(work).Content, KeysOf(other).Content)
	require.NotEqual(t, KeysOf(work).Turn, KeysOf(other).Turn)
	require.NotEqual(t, KeysOf(work).Program, KeysOf(other).Program)
	other.Program = ""
	require.Equal(t, Keys{Content: KeysOf(work).Content}, KeysOf(other))
}
