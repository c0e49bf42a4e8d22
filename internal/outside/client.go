package outside

import (
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
)

// Options configure the HTTP client of one service. Only Address must be set;
// the tool client needs none, because each request carries its own URL.
type Options struct {
	Address   string            // host:port or URL
	Timeout   time.Duration     // of one exchange; zero: httpjson.DefaultTimeout
	Transport http.RoundTripper // nil: shared by the process
}

func (o Options) client(service string) *httpjson.Client {
	return httpjson.New(httpjson.Options{
		Base:      o.Address,
		Service:   service,
		Timeout:   o.Timeout,
		Transport: o.Transport,
	})
}
