// Package report turns the figures of experiments into tables, JSON and plots,
// and compares policies with the best baseline of the same run.
package report
