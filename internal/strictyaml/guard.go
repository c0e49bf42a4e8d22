package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// guarded runs a call into the YAML library, which panics on some malformed
// documents, and returns a panic as an error.
func guarded(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("is malformed (%v)", cause)
		}
	}()
	return call()
}

// references finds the first anchor, alias or merge key. They are refused,
// because a small document can stand for a huge one through them.
func references(file string, body ast.Node) (Problem, bool) {
	finder := &referenceFinder{}
	ast.Walk(finder, body)
	if finder.found == nil {
		return Problem{}, false
	}
	return Problem{File: file, Line: finder.found.GetToken().Position.Line, What: "uses an anchor or alias", Remedy: "write the value out"}, true
}

type referenceFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *referenceFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		if f.found == nil {
			f.found = node
		}
	}
	return f
}
