package parser

// Table-driven decoding of YAML nodes. A decoder reads one node into a value and
// reports the faults of the node:
//
//	var point = object(
//		required("x", func(p *Point) *int { return &p.X }, integer[int](0, 9)),
//		optional("y", func(p *Point) *int { return &p.Y }, integer[int](0, 9)),
//	)

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/redwingshunt/redwingshunt"
)

// maxFindings is the maximum number of findings that are shown for one text.
const maxFindings = 200

// reportFunc records a finding about the value at a path.
type reportFunc func(path, format string, args ...any)

// decoder reads a node into a value. A value that can't be decoded keeps its
// default.
type decoder[V any] func(r *reader, path string, node *yaml.Node, into *V)

// field is one key of a mapping that is decoded into a T.
type field[T any] struct {
	name     string
	required bool
	decode   decoder[T]
}

// reader collects findings and records the node of each path.
type reader struct {
	file     string
	findings redwingshunt.Findings
	nodes    map[string]*yaml.Node
}

func newReader(file string) *reader {
	return &reader{file: file, nodes: make(map[string]*yaml.Node)}
}

// report adds a finding at the position of a path or of its nearest known
// parent.
func (r *reader) report(path, format string, args ...any) {
	finding := redwingshunt.Finding{File: r.file, Path: path, Text: fmt.Sprintf(format, args...)}
	if node := r.nodeAt(path); node != nil {
		finding.Line, finding.Column = node.Line, node.Column
	}
	r.findings = append(r.findings, finding)
}

// nodeAt returns the node of a path or of its nearest known parent, or nil.
func (r *reader) nodeAt(path string) *yaml.Node {
	for path != "" {
		if node := r.nodes[path]; node != nil {
			return node
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return nil
}

// sortedFindings returns at most maxFindings findings in the order of the text,
// and one that counts the rest.
func (r *reader) sortedFindings() redwingshunt.Findings {
	slices.SortStableFunc(r.findings, func(a, b redwingshunt.Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if more := len(r.findings) - maxFindings; more > 0 {
		rest := redwingshunt.Finding{File: r.file, Text: fmt.Sprintf("%d more findings are not shown", more)}
		r.findings = append(r.findings[:maxFindings], rest)
	}
	return r.findings
}

// root returns the top-level node of a text. It reports a finding and returns nil
// if the text is too large, empty or not YAML.
func (r *reader) root(text []byte) *yaml.Node {
	if len(text) > maxTextBytes {
		r.report("", "the text has %d bytes; at most %d are read", len(text), maxTextBytes)
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var first, second yaml.Node
	if err := decoder.Decode(&first); errors.Is(err, io.EOF) {
		r.report("", "the text is empty")
		return nil
	} else if err != nil {
		r.reportSyntaxError(err)
		return nil
	}
	if err := decoder.Decode(&second); err == nil {
		r.nodes[""] = &second
		r.findings = append(r.findings, redwingshunt.Finding{
			File: r.file, Line: second.Line, Column: second.Column, Text: "a second YAML document follows; only one is read",
		})
	} else if !errors.Is(err, io.EOF) {
		r.reportSyntaxError(err)
	}
	return first.Content[0]
}

// syntaxLinePattern matches the line number in an error of the YAML library.
var syntaxLinePattern = regexp.MustCompile(`line (\d+): `)

// reportSyntaxError reports an error of the YAML library at its line.
func (r *reader) reportSyntaxError(err error) {
	finding := redwingshunt.Finding{File: r.file, Text: strings.TrimPrefix(err.Error(), "yaml: ")}
	if match := syntaxLinePattern.FindStringSubmatch(finding.Text); match != nil {
		finding.Line, _ = strconv.Atoi(match[1])
		finding.Column = 1
		finding.Text = strings.Replace(finding.Text, match[0], "", 1)
	}
	finding.Text = "is not YAML near here: " + finding.Text
	r.findings = append(r.findings, finding)
}

// required returns a field whose key must be present.
func required[T, V any](name string, pointer func(*T) *V, decode decoder[V]) field[T] {
	f := optional(name, pointer, decode)
	f.required = true
	return f
}

// optional returns a field whose key may be omitted; the value then keeps its
// default.
func optional[T, V any](name string, pointer func(*T) *V, decode decoder[V]) field[T] {
	return field[T]{name: name, decode: func(r *reader, path string, node *yaml.Node, into *T) {
		decode(r, path, node, pointer(into))
	}}
}

// object returns a decoder of a mapping with the given fields.
func object[T any](fields ...field[T]) decoder[T] {
	return func(r *reader, path string, node *yaml.Node, into *T) {
		if !r.expectKind(path, node, yaml.MappingNode, "a mapping of keys") {
			return
		}
		seen := make(redwingshunt.Set[string])
		for i := 0; i+1 < len(node.Content); i += 2 {
			decodeKey(r, path, node.Content[i], node.Content[i+1], fields, seen, into)
		}
		for _, f := range fields {
			if f.required && !seen.Has(f.name) {
				r.report(joinPath(path, f.name), "is missing")
			}
		}
	}
}

// decodeKey decodes one entry of a mapping with the field of its key. It reports
// unknown and duplicate keys.
func decodeKey[T any](r *reader, path string, key, value *yaml.Node, fields []field[T], seen redwingshunt.Set[string], into *T) {
	full := joinPath(path, key.Value)
	index := slices.IndexFunc(fields, func(f field[T]) bool { return f.name == key.Value })
	switch {
	case index < 0:
		r.nodes[full] = key
		r.report(full, "is not a key here; %s", suggest(key.Value, fieldNames(fields)))
	case seen.Has(key.Value):
		first := r.nodes[full].Line
		r.nodes[full] = key
		r.report(full, "is given twice; the first is in line %d", first)
	default:
		seen.Add(key.Value)
		r.nodes[full] = value
		fields[index].decode(r, full, value, into)
	}
}

// list returns a decoder of a sequence. Each item is decoded over a copy of
// initial, which holds the defaults.
func list[V any](initial V, item decoder[V]) decoder[[]V] {
	return func(r *reader, path string, node *yaml.Node, into *[]V) {
		if !r.expectKind(path, node, yaml.SequenceNode, "a list") {
			return
		}
		*into = nil
		if len(node.Content) > 0 {
			*into = make([]V, len(node.Content))
		}
		for i, child := range node.Content {
			full := fmt.Sprintf("%s[%d]", path, i)
			r.nodes[full] = child
			(*into)[i] = initial
			item(r, full, child, &(*into)[i])
		}
	}
}

// nonEmptyList extends a decoder of a list to report an empty list.
func nonEmptyList[V any](decode decoder[[]V]) decoder[[]V] {
	return func(r *reader, path string, node *yaml.Node, into *[]V) {
		decode(r, path, node, into)
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.report(path, "must hold at least one")
		}
	}
}

// expectKind returns whether a node has the given kind, and reports a finding if
// not.
func (r *reader) expectKind(path string, node *yaml.Node, kind yaml.Kind, wanted string) bool {
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		r.report(path, "anchors and aliases are not read; write the value out")
	case node.Kind == yaml.ScalarNode && node.Tag == "!!null":
		r.report(path, "is empty; give %s or remove the key", wanted)
	case node.Kind != kind:
		r.report(path, "must be %s", wanted)
	default:
		return true
	}
	return false
}

// fieldNames returns the keys of fields.
func fieldNames[T any](fields []field[T]) []string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return all
}

// joinPath appends a key to a path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
