package peer

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// versionRecorder records the protocol versions of the requests that a server receives.
type versionRecorder struct {
	mutex sync.Mutex
	all   []string
}

func (s *versionRecorder) note(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.all = append(s.all, firstValue(r.Header, headerVersion))
		s.mutex.Unlock()
		next.ServeHTTP(w, r)
	})
}

// oldBuild behaves like builds that support only version 1 and send no range.
func oldBuild(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if firstValue(r.Header, headerVersion) != "1" {
			w.WriteHeader(http.StatusUpgradeRequired)
			return
		}
		next.ServeHTTP(&rangeOmitter{ResponseWriter: w}, r)
	})
}

// rangeOmitter removes the version range header, which old builds do not send.
type rangeOmitter struct{ http.ResponseWriter }

func (s *rangeOmitter) WriteHeader(status int) {
	s.Header().Del(headerVersions)
	s.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (s *rangeOmitter) Flush() { _ = http.NewResponseController(s.ResponseWriter).Flush() }

// TestNodesNegotiateAVersion: nodes with different ranges must use the newest common version from
// the first call on, and fail if there is none.
func TestNodesNegotiateAVersion(t *testing.T) {
	for name, test := range map[string]struct {
		client, server Versions
		old            bool
		called         []string // versions of the requests that three calls send
		served         bool
	}{
		"the same build":              {Versions{1, 1}, Versions{1, 1}, false, []string{"1", "1", "1"}, true},
		"a newer node is called":      {Versions{1, 1}, Versions{1, 2}, false, []string{"1", "1", "1"}, true},
		"an older node is called":     {Versions{1, 2}, Versions{1, 1}, false, []string{"2", "1", "1", "1"}, true},
		"a node that sends no range":  {Versions{1, 2}, Versions{1, 1}, true, []string{"2", "1", "1", "1"}, true},
		"two builds apart":            {Versions{2, 3}, Versions{1, 2}, false, []string{"3", "2", "2", "2"}, true},
		"too far apart":               {Versions{3, 4}, Versions{1, 2}, false, []string{"4", "4", "4"}, false},
		"an older build calls newest": {Versions{1, 2}, Versions{2, 3}, false, []string{"2", "2", "2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			seen := &versionRecorder{}
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

// TestReplacedNodeIsCalledInTheNewVersion: after a node is upgraded, calls must use the newer version.
func TestReplacedNodeIsCalledInTheNewVersion(t *testing.T) {
	seen := &versionRecorder{}
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

// TestParseVersions: malformed ranges must be rejected.
func TestParseVersions(t *testing.T) {
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
