package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a document.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // from 1; zero when the field is not in the file
	Field  string `json:"field,omitempty"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// String returns "file:line: field: what; remedy" on one line.
func (p Problem) String() string {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&text, ":%d", p.Line)
		}
		text.WriteString(": ")
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.What + "; " + p.Remedy)
	return strings.ReplaceAll(text.String(), "\n", " ")
}

// Problems is an error that prints one line for each problem.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
