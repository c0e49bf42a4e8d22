package strictyaml

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxBytes bounds the size of one file before it is parsed.
const MaxBytes = 8 << 20

// Document is one parsed YAML document of a file.
type Document struct {
	File string
	body ast.Node
}

// Parse splits data into its documents; file is used in problems only. JSON is
// accepted too, because it is a subset of YAML.
func Parse(file string, data []byte) ([]Document, Problems) {
	if len(data) > MaxBytes {
		return nil, Problems{{File: file, What: fmt.Sprintf("file is larger than %d bytes", MaxBytes), Remedy: "split it"}}
	}
	var parsed *ast.File
	err := guarded(func() (err error) {
		parsed, err = parser.ParseBytes(data, 0)
		return err
	})
	if err != nil {
		return nil, Problems{fromError(file, nil, err)}
	}
	var documents []Document
	for _, document := range parsed.Docs {
		if document.Body == nil || document.Body.Type() == ast.NullType {
			continue
		}
		if problem, found := references(file, document.Body); found {
			return nil, Problems{problem}
		}
		documents = append(documents, Document{File: file, body: document.Body})
	}
	return documents, nil
}

// Has reports whether the document has a top-level key.
func (d Document) Has(key string) bool { return d.find(key) != nil }

// Text returns the scalar at a top-level key, or "".
func (d Document) Text(key string) string {
	node := d.find(key)
	if node == nil {
		return ""
	}
	return node.GetToken().Value
}

// Decode reads the document into target, a pointer to a struct. It does not
// apply validate tags; see Check.
func (d Document) Decode(target any) Problems {
	if d.body == nil {
		return nil
	}
	err := guarded(func() error {
		return yaml.NodeToValue(d.body, target, yaml.Strict(), yaml.CustomUnmarshaler(decodeDuration))
	})
	if err != nil {
		return Problems{fromError(d.File, d.body, err)}
	}
	return nil
}

// Locate fills file and line of problems that name a field; a field that is
// not in the document gets the line of its nearest parent that is.
func (d Document) Locate(problems Problems) Problems {
	located := make(Problems, len(problems))
	for i, problem := range problems {
		problem.File = d.File
		problem.Line = d.line(problem.Field)
		located[i] = problem
	}
	return located
}

func (d Document) line(field string) int {
	if d.body == nil {
		return 0
	}
	for field != "" {
		if node := d.find(field); node != nil {
			return node.GetToken().Position.Line
		}
		field = parentField(field)
	}
	return firstLine(d.body)
}

// find returns the node at a field path such as limits.turns or tools[0].url.
func (d Document) find(field string) ast.Node {
	if d.body == nil {
		return nil
	}
	var node ast.Node
	err := guarded(func() error {
		path, err := yaml.PathString("$." + field)
		if err != nil {
			return err
		}
		node, err = path.FilterNode(d.body)
		return err
	})
	if err != nil {
		return nil
	}
	return node
}

func parentField(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

func firstLine(node ast.Node) int {
	token := node.GetToken()
	for token.Prev != nil && token.Prev.Position.Line == token.Position.Line {
		token = token.Prev
	}
	return token.Position.Line
}

// fromError turns a parse or decode error into a problem.
func fromError(file string, body ast.Node, err error) Problem {
	problem := Problem{File: file, What: err.Error(), Remedy: "correct the YAML"}
	var duration *durationError
	if errors.As(err, &duration) {
		problem.Line, problem.Field = scalarWith(body, duration.text)
		problem.What = err.Error()
		problem.Remedy = "give a number with a unit, such as 90s, 5m or 24h"
		return problem
	}
	var located yaml.Error
	if !errors.As(err, &located) {
		return problem
	}
	problem.What = located.GetMessage()
	token := located.GetToken()
	if token != nil {
		problem.Line = token.Position.Line
	}
	var unknown *yaml.UnknownFieldError
	var mistyped *yaml.TypeError
	var overflow *yaml.OverflowError
	var unexpected *yaml.UnexpectedNodeTypeError
	var duplicate *yaml.DuplicateKeyError
	switch {
	case errors.As(err, &unknown):
		problem.Field = fieldAt(body, problem.Line, token.Position.Column)
		problem.What = "unknown key"
		problem.Remedy = "remove it or correct its spelling"
	case errors.As(err, &mistyped):
		problem.Field = fieldAt(body, problem.Line, token.Position.Column)
		problem.What = fmt.Sprintf("%q is of the wrong type", token.Value)
		problem.Remedy = fmt.Sprintf("give a value of type %s", mistyped.DstType)
	case errors.As(err, &overflow):
		problem.Field = fieldAt(body, problem.Line, token.Position.Column)
		problem.Remedy = "give a smaller number"
	case errors.As(err, &unexpected):
		problem.Field = fieldAt(body, problem.Line, token.Position.Column)
		problem.What = fmt.Sprintf("%q is of the wrong type", token.Value)
		problem.Remedy = "give a value of the documented type"
	case errors.As(err, &duplicate):
		problem.Remedy = "keep one of the two"
	}
	return problem
}

// fieldAt returns the path of the key or value at a position.
func fieldAt(body ast.Node, line, column int) string {
	if body == nil {
		return ""
	}
	finder := &positionFinder{line: line, column: column}
	ast.Walk(finder, body)
	return strings.TrimPrefix(strings.TrimPrefix(finder.path, "$"), ".")
}

type positionFinder struct {
	line, column int
	path         string
}

// Visit implements ast.Visitor; deeper nodes come later and win.
func (f *positionFinder) Visit(node ast.Node) ast.Visitor {
	if token := node.GetToken(); token != nil && token.Position.Line == f.line && token.Position.Column == f.column {
		f.path = node.GetPath()
	}
	return f
}
