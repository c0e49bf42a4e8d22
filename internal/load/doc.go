// Package load runs the programs of a workload file against nodes over HTTP,
// measures them, compares several clusters or policies in one go, and checks
// the answers against what the engines truly ran.
package load
