package httpconn

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are taken for whole although nothing but the end of the connection says so, and against whole ones that are not.
func TestBodiesThatEndWithTheConnectionAreKnown(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		ends bool
	}{
		"a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"no body":          {"HTTP/1.1 204 No Content\r\n\r\n", false},
		"neither":          {"HTTP/1.1 200 OK\r\n\r\nok", true},
		"an older version": {"HTTP/1.0 200 OK\r\n\r\nok", true},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := peer(t, []string{c.head})
			response, err := pool(address).Send(t.Context(), get())
			require.NoError(t, err)
			require.Equal(t, c.ends, response.EndsWithConnection())
			response.Close(false)
		})
	}
}
