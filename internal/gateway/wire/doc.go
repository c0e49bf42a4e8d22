// Package wire holds the JSON bodies of the callers' and operators' HTTP
// interface. The gateway writes them and the Go client reads them. Chat bodies
// follow the chat-completions shape that stock client libraries speak.
package wire

// Headers of the interface beyond the standard ones.
const (
	// HeaderProgram names the program that a chat completion belongs to.
	HeaderProgram = "X-Program-Id"
	// HeaderCall carries the number of the answered call.
	HeaderCall = "X-Call-Number"
	// HeaderKey carries a request's idempotency key, both ways.
	HeaderKey = "Idempotency-Key"
	// HeaderResume names the last event that a resuming caller has seen.
	HeaderResume = "Last-Event-ID"
	// HeaderShouldRetry tells stock client libraries whether repeating helps.
	HeaderShouldRetry = "X-Should-Retry"
	// HeaderIfMatch names the configuration version that a change was made on.
	HeaderIfMatch = "If-Match"
)

// The media types of answers.
const (
	MediaJSON   = "application/json"
	MediaEvents = "text/event-stream"
	MediaYAML   = "application/yaml"
)

// Done is the data of the event that ends every complete stream.
const Done = "[DONE]"
