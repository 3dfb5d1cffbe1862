package matcher

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

func TestFind(t *testing.T) {
	document := &redwingshunt.Document{Routes: []redwingshunt.Route{
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "o", Prefix: "/a/"},
	}}
	table := New(document)
	tests := map[string]struct {
		host, path string
		want       redwingshunt.RouteID // empty for none
	}{
		"longest":           {"h", "/a/b/c", "ab"},
		"whole prefix":      {"h", "/a/b/", "ab"},
		"no trailing slash": {"h", "/a/b", "a"},
		"not in the middle": {"h", "/ab/c", "root"},
		"port and case":     {"H:8080", "/a/x", "a"},
		"other host":        {"o", "/a/b/c", "other"},
		"no route":          {"o", "/b/", ""},
		"no host":           {"x", "/a/", ""},
		"no path":           {"h", "", ""},
		"address":           {"[::1]", "/a/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := table.Find(test.host, test.path)
			if test.want == "" {
				is.True(route == nil)
				return
			}
			is.True(route != nil)
			is.Equal(route.Name, test.want)
		})
	}
}

func TestPick(t *testing.T) {
	is := is.New(t)
	route := &redwingshunt.Route{Targets: []redwingshunt.Target{{Service: "a", Weight: 9}, {Service: "b", Weight: 0}, {Service: "c", Weight: 1}}}
	picked := make(map[redwingshunt.ServiceID]int)
	for i := range uint64(100) {
		picked[Pick(route, i)]++
	}
	is.Equal(picked, map[redwingshunt.ServiceID]int{"a": 90, "c": 10})
	is.Equal(Pick(&redwingshunt.Route{}, 1), redwingshunt.ServiceID(""))
}
