package peer

import (
	"bytes"
	"encoding/gob"
	"flag"
	"net/http"
	"os"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

type tree struct {
	Name     string
	Weights  map[string]int
	When     time.Time
	Children []tree
	Next     *tree
}

type boxed struct{ Content any }

func drawTree(depth int) *rapid.Generator[tree] {
	return rapid.Custom(func(t *rapid.T) tree {
		drawn := tree{
			Name:    rapid.String().Draw(t, "name"),
			Weights: rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "weights"),
			When:    time.Unix(rapid.Int64Range(0, 1<<40).Draw(t, "when"), 0).UTC(),
		}
		if depth > 0 {
			drawn.Children = rapid.SliceOfN(drawTree(depth-1), 0, 3).Draw(t, "children")
		}
		return drawn
	})
}

// TestCodecMatchesPlainGob: reused coders must decode the same values as plain gob.
func TestCodecMatchesPlainGob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := drawTree(2).Draw(t, "value")
		payload, err := Encode(value)
		require.NoError(t, err)
		short, _ := elideSchema(payload)
		whole, _, known := restoreSchema(short)
		require.True(t, known)
		assert.Equal(t, payload, whole)
		var decoded, plain tree
		require.NoError(t, Decode(payload, &decoded))
		var buffer bytes.Buffer
		require.NoError(t, gob.NewEncoder(&buffer).Encode(value))
		require.NoError(t, gob.NewDecoder(&buffer).Decode(&plain))
		assert.Equal(t, plain, decoded)
	})
}

// TestCodecHandlesInterfacesAndRejectsNil: interface fields must survive a round trip, and values that gob
// cannot encode must be an error.
func TestCodecHandlesInterfacesAndRejectsNil(t *testing.T) {
	gob.Register(question{})
	payload, err := Encode(boxed{Content: question{Text: "x"}})
	require.NoError(t, err)
	assert.Equal(t, payloadPlain, payloadKind(payload[0]))
	var decoded boxed
	require.NoError(t, Decode(payload, &decoded))
	assert.Equal(t, question{Text: "x"}, decoded.Content)

	for name, value := range map[string]any{"nil": nil, "nil pointer": (*tree)(nil), "no exported field": struct{ hidden int }{}} {
		_, err := Encode(value)
		assert.Error(t, err, name)
	}
}

// TestCodecIsSafeInParallel: concurrent use must not mix up the pooled coders.
func TestCodecIsSafeInParallel(t *testing.T) {
	var group sync.WaitGroup
	for i := range 4 * maxIdleCoders {
		group.Go(func() {
			payload, err := Encode(reply{Text: "parallel", Count: i})
			assert.NoError(t, err)
			var decoded reply
			assert.NoError(t, Decode(payload, &decoded))
			assert.Equal(t, i, decoded.Count)
		})
	}
	group.Wait()
}

// TestSchemaIsResent: a server without the cached schema must get it in a second attempt.
func TestSchemaIsResent(t *testing.T) {
	options := Options{Keys: NewKeys("secret")}
	address := startServer(t, options, echoMux())
	client := newClient(t, options)
	_, err := Invoke[reply](t.Context(), client, address, "echo", question{Text: "x"})
	require.NoError(t, err)
	schema := registerType(reflect.TypeFor[question]()).schema
	hash := knownSchemas.add(schema)
	knownSchemas.byHash.Delete(hash)

	payload, err := Encode(question{Text: "y"})
	require.NoError(t, err)
	short, _ := elideSchema(payload)
	response, err := client.post(t.Context(), address, pathCall, "echo", short)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusPreconditionRequired, response.StatusCode)

	answer, err := Invoke[reply](t.Context(), client, address, "echo", question{Text: "yes"})
	require.NoError(t, err)
	assert.Equal(t, reply{Text: "yes", Count: 3}, answer)
	assert.Equal(t, schema, knownSchemas.find(hash))
}

// FuzzDecode: no input may panic or corrupt the decoders that later messages reuse.
func FuzzDecode(f *testing.F) {
	good, err := Encode(reply{Text: "tomatoes", Count: 3})
	require.NoError(f, err)
	other, err := Encode(tree{Name: "root", Weights: map[string]int{"a": 1}})
	require.NoError(f, err)
	schema, value, err := splitSchema(good)
	require.NoError(f, err)
	f.Add(good)
	f.Add(other)
	f.Add(joinSchema(schema, append(bytes.Clone(schema), value...)))
	f.Add(joinSchema(schema, append(bytes.Clone(value), value...)))
	f.Add(joinSchema(schema, value[:len(value)-1]))
	f.Add(joinSchema(nil, value))
	f.Add([]byte{byte(payloadSchema), 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{byte(payloadElided), 1, 2})
	f.Add([]byte{byte(payloadPlain), 0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, _, known := restoreSchema(input)
		if known {
			var anything reply
			if err := Decode(whole, &anything); err != nil {
				assert.Equal(t, fault.Invalid, fault.CodeOf(err))
			}
		}
		for range 2 {
			var decoded reply
			require.NoError(t, Decode(good, &decoded))
			require.Equal(t, reply{Text: "tomatoes", Count: 3}, decoded)
		}
	})
}

// TestCodecWorksInSeveralBubbles: coders reused across synctest bubbles must not share
// channels, which synctest forbids.
func TestCodecWorksInSeveralBubbles(t *testing.T) {
	for range 2 {
		synctest.Test(t, func(t *testing.T) {
			payload, err := Encode(reply{Text: "bubble"})
			require.NoError(t, err)
			var decoded reply
			require.NoError(t, Decode(payload, &decoded))
		})
	}
}
