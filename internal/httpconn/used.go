package httpconn

import "slices"

// UsedConnections holds the connections on which one request was sent. A peer may send a second answer late, in the place of
// the next one. On a connection that carries the request again, it could not be distinguished from the answer to the new
// send. It is not safe for concurrent use. The zero value is empty.
type UsedConnections struct{ connections []*conn }

func (u *UsedConnections) contains(c *conn) bool {
	return u != nil && slices.Contains(u.connections, c)
}

func (u *UsedConnections) add(c *conn) {
	if u != nil {
		u.connections = append(u.connections, c)
	}
}
