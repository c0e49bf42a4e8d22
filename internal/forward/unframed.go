package forward

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/cloverwheel/cloverwheel/internal/backend"
)

// errEndUnconfirmed reports an answer whose end cannot be told from the end of its worker.
var errEndUnconfirmed = fmt.Errorf("the answer has no length, and its worker is gone or cannot be reached since it closed the connection: %w", io.ErrUnexpectedEOF)

// unframedBody is the body of an answer that ends with its connection. When a process is killed, its kernel closes the connections as the
// process does after a whole answer, so the body is whole only if the worker still accepts connections.
type unframedBody struct {
	io.Reader
	ctx       context.Context
	worker    *backend.Worker
	confirmed bool
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || b.confirmed {
		return count, err
	}
	ctx, cancel := context.WithTimeout(b.ctx, dialCheckTimeout)
	defer cancel()
	if failure := b.worker.Pool().ProbeEnded(ctx); failure != nil {
		return count, errors.Join(errEndUnconfirmed, failure)
	}
	b.confirmed = true
	return count, err
}
