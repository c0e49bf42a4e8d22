package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against matching a shorter prefix, another host or a partial path segment.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	configuration := New(1, []Route{
		{Name: "short", Host: "h.example", PathPrefix: "/a/"},
		{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "o.example", PathPrefix: "/"},
	}, nil, Limits{})
	for request, want := range map[[2]string]string{
		{"h.example", "/a/x"}:        "short",
		{"H.example:8080", "/a/b/x"}: "long",
		{"h.example", "/a/bx"}:       "short",
		{"h.example", "/a"}:          "",
		{"h.example", "/"}:           "",
		{"o.example", "/a/b/"}:       "other",
		{"x.example", "/a/b/"}:       "",
	} {
		got := configuration.Match(request[0], request[1])
		if want == "" {
			require.Nil(t, got, request)
			continue
		}
		require.NotNil(t, got, request)
		require.Equal(t, want, got.Name, request)
	}
}

// Guards against repeating a request that must run at most once.
func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Safe}).Repeatable())
	require.False(t, (&Route{Kind: Unsafe, Resumable: true}).Repeatable())
	require.False(t, (&Route{Kind: Streaming}).Repeatable())
	require.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

// Guards against a distribution of requests that deviates from the targets' weights.
func TestDrawsFollowWeights(t *testing.T) {
	configuration := New(1, []Route{{Host: "h", PathPrefix: "/", Targets: []Target{{"s", 90}, {"t", 10}}}}, nil, Limits{})
	matched := configuration.Match("h", "/")
	counts := map[string]int{}
	for range 1000 {
		counts[matched.Service(matched.Draw())]++
	}
	require.InDelta(t, 900, counts["s"], 10)
	require.InDelta(t, 100, counts["t"], 10)
}
