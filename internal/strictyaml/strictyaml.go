// Package strictyaml decodes YAML documents strictly and keeps the line of each
// key, so that later checks can report their findings by file, line and key.
package strictyaml

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxDocumentBytes is the largest document that Decode accepts.
const MaxDocumentBytes = 1 << 20

// Problem is one finding in a YAML document.
type Problem struct {
	// File is the document's name.
	File string
	// Line counts from 1; 0 means that the finding concerns the whole document.
	Line int
	// Key is the path of the value, such as "limits.queue_capacity".
	Key string
	// Message says what is wrong.
	Message string
	// Allowed says which values are accepted; it may be empty.
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString(" (allowed: " + p.Allowed + ")")
	}
	return b.String()
}

// Problems is a list of findings in the order in which they were made. It is
// an error when it is not empty.
type Problems []Problem

// Error implements error with one finding a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the list as an error, or nil when it is empty.
func (p Problems) OrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Document is a parsed document that knows the line of each key.
type Document struct {
	name string
	file *ast.File
}

// Decode parses data and decodes it into target. Unknown and duplicate keys,
// wrong types, more than one document and an empty document are refused. A
// returned error is of type Problems.
func Decode(name string, data []byte, target any) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{File: name, Message: fmt.Sprintf("the document has %d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d", MaxDocumentBytes)}}
	}
	file, err := parseFile(data)
	if err != nil {
		return nil, Problems{problemOf(name, err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Problems{{File: name, Message: "the file must hold exactly one YAML document"}}
	}
	finder := &indirectionFinder{name: name}
	ast.Walk(finder, file.Docs[0].Body)
	if len(finder.problems) > 0 {
		return nil, finder.problems
	}
	if err := unmarshal(data, target); err != nil {
		return nil, Problems{locate(problemOf(name, err), file)}
	}
	return &Document{name: name, file: file}, nil
}

// parseFile parses a document. The parser panics on some malformed documents;
// that is reported as an error, like any other malformed document.
func parseFile(data []byte) (file *ast.File, err error) {
	defer recoverAs(&err)
	return parser.ParseBytes(data, 0)
}

// unmarshal decodes a document, with the same care as parseFile.
func unmarshal(data []byte, target any) (err error) {
	defer recoverAs(&err)
	return yaml.UnmarshalWithOptions(data, target, yaml.Strict())
}

func recoverAs(err *error) {
	if recover() != nil {
		*err = errors.New("the document is malformed")
	}
}

// indirectionFinder visits nodes and reports tags, anchors, aliases and merge
// keys. Settings need none of them, and with aliases a short document can
// stand for a very large one.
type indirectionFinder struct {
	name     string
	problems Problems
}

// Visit implements ast.Visitor.
func (f *indirectionFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.TagType, ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.problems = append(f.problems, Problem{File: f.name, Line: node.GetToken().Position.Line,
			Message: "tags, anchors, aliases and merge keys are not allowed"})
		return nil
	}
	return f
}

// problemOf keeps the line and the first sentence of a decoder's error.
func problemOf(name string, err error) Problem {
	p := Problem{File: name, Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			p.Line = token.Position.Line
		}
	}
	return p
}

// locate adds line and key to a finding without a line, which decoders of single
// values (such as durations) report: it takes the first value that the message
// quotes.
func locate(p Problem, file *ast.File) Problem {
	if p.Line == 0 {
		ast.Walk(&quoteFinder{problem: &p}, file.Docs[0].Body)
	}
	return p
}

// quoteFinder visits nodes until it finds the value that a finding quotes.
type quoteFinder struct {
	problem *Problem
}

// Visit implements ast.Visitor.
func (f *quoteFinder) Visit(node ast.Node) ast.Visitor {
	if f.problem.Line > 0 {
		return nil
	}
	if pair, ok := node.(*ast.MappingValueNode); ok {
		value := pair.Value.GetToken().Value
		if strings.Contains(f.problem.Message, strconv.Quote(value)) {
			f.problem.Line = firstLine(pair)
			f.problem.Key = strings.TrimPrefix(pair.Value.GetPath(), "$.")
		}
	}
	return f
}

// Line returns the line of the value at a path such as "limits.queue" or
// "states[2].name". For a path that is absent it returns the line of the
// nearest enclosing value, and 0 for the whole document.
func (d *Document) Line(key string) int {
	for path := key; path != ""; path = parentPath(path) {
		if line, ok := d.exactLine(path); ok {
			return line
		}
	}
	return 0
}

// Has reports whether the document holds a value at the path.
func (d *Document) Has(key string) bool {
	_, ok := d.exactLine(key)
	return ok
}

func (d *Document) exactLine(key string) (int, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0, false
	}
	node, err := path.FilterFile(d.file)
	if err != nil || node == nil {
		return 0, false
	}
	return firstLine(node), true
}

// firstLine returns the line on which a value begins. A block mapping's own
// token is the colon of its first entry, so the entry's key is asked instead.
func firstLine(node ast.Node) int {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return firstLine(n.Values[0])
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Problem returns a finding about the value at a path.
func (d *Document) Problem(key, allowed, format string, args ...any) Problem {
	return Problem{File: d.name, Line: d.Line(key), Key: key, Message: fmt.Sprintf(format, args...), Allowed: allowed}
}
