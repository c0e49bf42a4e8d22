package strictyaml

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// durationError keeps the text that is no duration, so that it can be located.
type durationError struct{ text string }

// Error implements error.
func (e *durationError) Error() string { return fmt.Sprintf("%q is not a duration", e.text) }

// decodeDuration reads a duration with units, or a whole number of nanoseconds
// as JSON writes it.
func decodeDuration(target *time.Duration, data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	if nanoseconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		*target = time.Duration(nanoseconds)
		return nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &durationError{text}
	}
	*target = parsed
	return nil
}

// scalarWith finds the first scalar with a text and returns its line and path.
func scalarWith(body ast.Node, text string) (line int, field string) {
	finder := &textFinder{text: text}
	ast.Walk(finder, body)
	return finder.line, strings.TrimPrefix(finder.path, "$.")
}

type textFinder struct {
	text string
	line int
	path string
}

// Visit implements ast.Visitor.
func (f *textFinder) Visit(node ast.Node) ast.Visitor {
	_, scalar := node.(ast.ScalarNode)
	if scalar && f.line == 0 && node.GetToken().Value == f.text {
		f.line = node.GetToken().Position.Line
		f.path = node.GetPath()
	}
	return f
}
