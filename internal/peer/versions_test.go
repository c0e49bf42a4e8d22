package peer

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// seenVersions notes in which versions a server was called.
type seenVersions struct {
	mutex sync.Mutex
	all   []string
}

func (s *seenVersions) note(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.all = append(s.all, firstValue(r.Header, headerVersion))
		s.mutex.Unlock()
		next.ServeHTTP(w, r)
	})
}

// oldBuild answers as builds do that speak one version alone and tell nothing of it.
func oldBuild(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if firstValue(r.Header, headerVersion) != "1" {
			w.WriteHeader(http.StatusUpgradeRequired)
			return
		}
		next.ServeHTTP(&silentHeader{ResponseWriter: w}, r)
	})
}

// silentHeader leaves out what old builds do not send.
type silentHeader struct{ http.ResponseWriter }

func (s *silentHeader) WriteHeader(status int) {
	s.Header().Del(headerVersions)
	s.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (s *silentHeader) Flush() { _ = http.NewResponseController(s.ResponseWriter).Flush() }

// TestNodesOfTwoBuildsAgreeOnAVersion: at the first message, and for all that follow.
func TestNodesOfTwoBuildsAgreeOnAVersion(t *testing.T) {
	for name, test := range map[string]struct {
		client, server Versions
		old            bool
		called         []string // versions of three calls
		served         bool
	}{
		"the same build":              {Versions{1, 1}, Versions{1, 1}, false, []string{"1", "1", "1"}, true},
		"a newer node is called":      {Versions{1, 1}, Versions{1, 2}, false, []string{"1", "1", "1"}, true},
		"an older node is called":     {Versions{1, 2}, Versions{1, 1}, false, []string{"2", "1", "1", "1"}, true},
		"one that knows no ranges":    {Versions{1, 2}, Versions{1, 1}, true, []string{"2", "1", "1", "1"}, true},
		"two builds apart":            {Versions{2, 3}, Versions{1, 2}, false, []string{"3", "2", "2", "2"}, true},
		"too far apart":               {Versions{3, 4}, Versions{1, 2}, false, []string{"4", "4", "4"}, false},
		"an older build calls newest": {Versions{1, 2}, Versions{2, 3}, false, []string{"2", "2", "2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			seen := &seenVersions{}
			server := NewServer(Options{Keys: NewKeys("k"), Versions: test.server}, echoMux())
			handler := server.Handler()
			if test.old {
				handler = oldBuild(handler)
			}
			server.http.Handler = seen.note(handler)
			address := serveOn(t, server)
			client := newClient(t, Options{Keys: NewKeys("k"), Versions: test.client})
			for range 3 {
				answer, err := Invoke[reply](t.Context(), client, address, "echo", question{Text: "hi"})
				require.Equal(t, test.served, err == nil, "%v", err)
				if test.served {
					require.Equal(t, reply{Text: "hi", Count: 2}, answer)
				}
			}
			require.Equal(t, test.called, seen.all)
		})
	}
}

// TestNodeIsCalledInTheNewVersionOnceItIsReplaced by a build that speaks it.
func TestNodeIsCalledInTheNewVersionOnceItIsReplaced(t *testing.T) {
	seen := &seenVersions{}
	old := NewServer(Options{Keys: NewKeys("k"), Versions: Versions{1, 1}}, echoMux()).Handler()
	replaced := NewServer(Options{Keys: NewKeys("k"), Versions: Versions{1, 2}}, echoMux()).Handler()
	present := old
	server := NewServer(Options{Keys: NewKeys("k")}, echoMux())
	server.http.Handler = seen.note(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { present.ServeHTTP(w, r) }))
	address := serveOn(t, server)
	client := newClient(t, Options{Keys: NewKeys("k"), Versions: Versions{1, 2}})
	for round := range 4 {
		if round == 2 {
			present = replaced
		}
		_, err := Invoke[reply](t.Context(), client, address, "echo", question{Text: "hi"})
		require.NoError(t, err)
	}
	require.Equal(t, []string{"2", "1", "1", "1", "2"}, seen.all)
}

func TestVersionsAreRead(t *testing.T) {
	for text, want := range map[string]Versions{"1-1": {1, 1}, "2-12": {2, 12}} {
		got, ok := parseVersions(text)
		require.True(t, ok)
		require.Equal(t, want, got)
		require.Equal(t, text, got.String())
	}
	for _, text := range []string{"", "1", "2-1", "0-1", "a-b", "1-", "-1-2"} {
		_, ok := parseVersions(text)
		require.False(t, ok, text)
	}
}
