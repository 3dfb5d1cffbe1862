package redwingshunt

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// messageRow matches a row of the table in docs/LOGS.md: message and fields.
var messageRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [a-z, ]+ \\| ([^|]*) \\|")

// fieldName matches one name in a list of fields.
var fieldName = regexp.MustCompile("`([^`]+)`")

// logMethods maps the methods of a logger to the index of their message argument.
var logMethods = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Debug": 0, "LogAttrs": 2}

// TestMessagesOnPage compares the messages and fields in docs/LOGS.md with those
// in the code.
func TestMessagesOnPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/LOGS.md")
	is.NoErr(err)
	listed := make(map[string]Set[string])
	for _, row := range messageRow.FindAllStringSubmatch(string(page), -1) {
		fields := NewSet[string]()
		for _, field := range fieldName.FindAllStringSubmatch(row[2], -1) {
			fields.Add(field[1])
		}
		listed[row[1]] = fields
	}
	written := messagesInCode(t)
	is.True(len(written) > 30)
	for message, fields := range written {
		if listed[message] == nil {
			t.Errorf("docs/LOGS.md does not list %q with %v", message, fields.Sorted())
			continue
		}
		if got, want := listed[message].Sorted(), fields.Sorted(); !slices.Equal(got, want) {
			t.Errorf("docs/LOGS.md lists %q with %v, the code writes %v", message, got, want)
		}
	}
	for message := range listed {
		if written[message] == nil {
			t.Errorf("docs/LOGS.md lists %q, which the code does not write", message)
		}
	}
}

// messagesInCode returns the messages that the code logs, with their fields.
func messagesInCode(t *testing.T) map[string]Set[string] {
	t.Helper()
	written := make(map[string]Set[string])
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() && (entry.Name() == "tools" || entry.Name() == "target" || entry.Name() == "journal") {
			if err == nil {
				err = fs.SkipDir
			}
			return err
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				addMessage(written, call, file)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// addMessage adds the message and fields of a call if it is a logger call.
func addMessage(written map[string]Set[string], call *ast.CallExpr, file *ast.File) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	place, ok := logMethods[selector.Sel.Name]
	if !ok || len(call.Args) <= place {
		return
	}
	message, ok := literal(call.Args[place])
	if !ok {
		return
	}
	fields := written[message]
	if fields == nil {
		fields = NewSet[string]()
		written[message] = fields
	}
	if selector.Sel.Name == "LogAttrs" { // the attributes are created elsewhere in the file
		ast.Inspect(file, func(node ast.Node) bool {
			made, ok := node.(*ast.CallExpr)
			if !ok || len(made.Args) != 2 {
				return true
			}
			if of, ok := made.Fun.(*ast.SelectorExpr); ok {
				if name, ok := of.X.(*ast.Ident); ok && name.Name == "slog" {
					if field, ok := literal(made.Args[0]); ok {
						fields.Add(field)
					}
				}
			}
			return true
		})
		return
	}
	for i := place + 1; i < len(call.Args); i += 2 {
		if field, ok := literal(call.Args[i]); ok {
			fields.Add(field)
		}
	}
}

// literal returns the value of a string literal.
func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}
