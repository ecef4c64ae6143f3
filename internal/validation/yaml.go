package validation

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Positions holds the line of each field and list item of a document.
type Positions struct {
	file  string
	lines map[string]int
}

// Locate sets the file of each problem, and the line if it is unknown: that of the field, or of the nearest enclosing field or
// list item. It modifies ps and returns it.
func (p Positions) Locate(ps Problems) Problems {
	for i := range ps {
		ps[i].File = p.file
		if ps[i].Line == 0 {
			ps[i].Line = p.lineOf(ps[i].Field)
		}
	}
	return ps
}

// lineOf returns the line of a field, or of the nearest field or list item that encloses it.
func (p Positions) lineOf(field string) int {
	for {
		if line, ok := p.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return p.lines[""]
		}
		field = field[:cut]
	}
}

// syntaxLine matches the line number in an error text of the YAML parser.
var syntaxLine = regexp.MustCompile(`line (\d+)`)

// Decode decodes one YAML or JSON document strictly into the struct that into points to, and reports every unknown field,
// repeated field and wrong type. Aliases are rejected, since an error in a value that is used in several places has no single
// position.
func Decode(file string, data []byte, into any) (Positions, Problems) {
	d := decoder{positions: Positions{file: file, lines: map[string]int{}}}
	root, problem := parse(data)
	if problem != nil {
		return d.positions, d.positions.Locate(Problems{*problem})
	}
	d.positions.lines[""] = root.Line
	d.decodeValue(root, "", reflect.ValueOf(into).Elem())
	return d.positions, d.positions.Locate(d.problems)
}

func parse(data []byte) (*yaml.Node, *Problem) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) || (err == nil && len(doc.Content) == 0) {
		return nil, &Problem{Kind: KindMissing, Detail: "the document is empty"}
	}
	if err != nil {
		return nil, syntaxProblem(err)
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, &Problem{Kind: KindSyntax, Line: next.Line, Detail: "more than one document", Allowed: "one document"}
	}
	return doc.Content[0], nil
}

func syntaxProblem(err error) *Problem {
	p := &Problem{Kind: KindSyntax, Detail: strings.TrimPrefix(err.Error(), "yaml: ")}
	if m := syntaxLine.FindStringSubmatch(p.Detail); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
	}
	return p
}

type decoder struct {
	positions Positions
	problems  Problems
}

func (d *decoder) decodeValue(n *yaml.Node, path string, into reflect.Value) {
	switch into.Kind() {
	case reflect.Struct:
		d.decodeMapping(n, path, into)
	case reflect.Slice:
		d.decodeSequence(n, path, into)
	default:
		d.decodeScalar(n, path, into)
	}
}

func (d *decoder) decodeMapping(n *yaml.Node, path string, into reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addWrongType(n, path, "a mapping")
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field := fieldPath(path, key.Value)
		index, known := fields.index[key.Value]
		switch {
		case !known:
			d.addProblem(key, KindUnknownField, field, strings.Join(fields.names, ", "), "unknown field")
		case seen[key.Value]:
			d.addProblem(key, KindDuplicate, field, "", "the field is given twice")
		default:
			d.positions.lines[field] = key.Line
			d.decodeValue(value, field, into.Field(index))
		}
		seen[key.Value] = true
	}
}

func (d *decoder) decodeSequence(n *yaml.Node, path string, into reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addWrongType(n, path, "a list")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		field := path + "[" + strconv.Itoa(i) + "]"
		d.positions.lines[field] = item.Line
		d.decodeValue(item, field, items.Index(i))
	}
	into.Set(items)
}

func (d *decoder) decodeScalar(n *yaml.Node, path string, into reflect.Value) {
	want := typeName(into.Kind())
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" || n.Decode(into.Addr().Interface()) != nil {
		d.addWrongType(n, path, want)
	}
}

func (d *decoder) addWrongType(n *yaml.Node, path, want string) {
	detail := "has the wrong type"
	if n.Kind == yaml.AliasNode {
		detail = "aliases are not supported"
	}
	if n.Kind == yaml.ScalarNode {
		detail = "is " + strconv.Quote(n.Value)
	}
	d.addProblem(n, KindWrongType, path, want, detail)
}

func (d *decoder) addProblem(n *yaml.Node, kind Kind, field, allowed, detail string) {
	d.problems = append(d.problems, Problem{Line: n.Line, Field: field, Kind: kind, Detail: detail, Allowed: allowed})
}

// typeName describes the values that a field of the given kind accepts.
func typeName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "text"
	case reflect.Uint64:
		return "a whole number, not below 0"
	default:
		return "a whole number"
	}
}

// structFields describes the fields of a struct by their names in YAML.
type structFields struct {
	names []string
	// index holds the index of each field in the struct.
	index map[string]int
}

func fieldsOf(t reflect.Type) structFields {
	fields := structFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields.names = append(fields.names, name)
		fields.index[name] = i
	}
	return fields
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
