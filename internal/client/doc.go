// Package client speaks cloverwheel's HTTP interface for the command line and
// the load tool. It repeats a request only where the answer says that it did
// not run, and finds the answer of a broken call by its idempotency key.
package client
