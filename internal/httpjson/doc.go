// Package httpjson exchanges JSON with outside services over HTTP and turns
// every failure into a typed error that says whether the request ran. The
// clients of engines and platform services and their stand-ins share it.
package httpjson
