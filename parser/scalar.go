package parser

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/redwingshunt/redwingshunt"
)

// namePattern matches the names of instances, regions, zones and entries of the
// document.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// hashPattern matches a KeyHash.
var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// methodPattern matches an HTTP method.
var methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)

// scalar returns a decoder of a scalar node that uses read. If read returns
// false, the finding says that the value must be as wanted describes.
func scalar[V any](wanted string, read func(node *yaml.Node) (V, bool)) decoder[V] {
	return func(r *reader, path string, node *yaml.Node, into *V) {
		if !r.expectKind(path, node, yaml.ScalarNode, wanted) {
			return
		}
		value, ok := read(node)
		if !ok {
			r.report(path, "is %q; must be %s", truncate(node.Value), wanted)
			return
		}
		*into = value
	}
}

// text returns a decoder of strings for which accept returns true.
func text[V ~string](wanted string, accept func(string) bool) decoder[V] {
	return scalar(wanted, func(node *yaml.Node) (V, bool) {
		return V(node.Value), node.Tag == "!!str" && accept(node.Value)
	})
}

// name returns a decoder of names that match namePattern.
func name[V ~string]() decoder[V] {
	return text[V]("a name of at most 63 of a-z, 0-9, dot, dash and underscore (quote a number)", namePattern.MatchString)
}

// nonEmptyText returns a decoder of non-empty strings of limited length.
func nonEmptyText[V ~string](wanted string) decoder[V] {
	const maxBytes = 1024
	return text[V](wanted, func(s string) bool { return s != "" && len(s) <= maxBytes })
}

// keyHash decodes the hash of a bearer key. The finding omits an invalid value,
// because it may be the key itself.
func keyHash(r *reader, path string, node *yaml.Node, into *redwingshunt.KeyHash) {
	if !hashPattern.MatchString(node.Value) || node.Kind != yaml.ScalarNode {
		r.report(path, "must be sha256: and 64 lower-case hex digits, as redwingshunt keygen prints it")
		return
	}
	*into = redwingshunt.KeyHash(node.Value)
}

// oneOf returns a decoder of one of the given words.
func oneOf[V ~string](words ...V) decoder[V] {
	return func(r *reader, path string, node *yaml.Node, into *V) {
		if !r.expectKind(path, node, yaml.ScalarNode, "a word") {
			return
		}
		if !slices.Contains(words, V(node.Value)) {
			r.report(path, "is %q; %s", truncate(node.Value), suggest(node.Value, words))
			return
		}
		*into = V(node.Value)
	}
}

// integer returns a decoder of an integer from least to most.
func integer[V ~int | ~int64 | ~uint32](least, most int64) decoder[V] {
	wanted := "a whole number from " + strconv.FormatInt(least, 10) + " to " + strconv.FormatInt(most, 10)
	return scalar(wanted, func(node *yaml.Node) (V, bool) {
		value, err := strconv.ParseInt(node.Value, 10, 64)
		return V(value), err == nil && node.Tag == "!!int" && value >= least && value <= most
	})
}

// percent returns a decoder of a percentage, which may have a fraction.
func percent() decoder[float64] { return number(0, 100) }

// number returns a decoder of a number from least to most, which may have a
// fraction.
func number(least, most float64) decoder[float64] {
	wanted := fmt.Sprintf("a number from %g to %.0f", least, most)
	return scalar(wanted, func(node *yaml.Node) (float64, bool) {
		value, err := strconv.ParseFloat(node.Value, 64)
		numeric := node.Tag == "!!int" || node.Tag == "!!float"
		return value, err == nil && numeric && value >= least && value <= most
	})
}

// some returns a decoder of an optional value that tells its default from a value that
// is given.
func some[V any](decode decoder[V]) decoder[redwingshunt.Option[V]] {
	return func(r *reader, path string, node *yaml.Node, into *redwingshunt.Option[V]) {
		findings := len(r.findings)
		var value V
		if decode(r, path, node, &value); len(r.findings) == findings {
			*into = redwingshunt.Some(value)
		}
	}
}

// boolean returns a decoder of true or false.
func boolean() decoder[bool] {
	return scalar("true or false", func(node *yaml.Node) (bool, bool) {
		return node.Value == "true", node.Tag == "!!bool" && (node.Value == "true" || node.Value == "false")
	})
}

// duration returns a decoder of a duration from least to most, written with its
// unit.
func duration(least, most time.Duration) decoder[time.Duration] {
	wanted := "a time with its unit, as 30s, from " + least.String() + " to " + most.String()
	return scalar(wanted, func(node *yaml.Node) (time.Duration, bool) {
		value, err := time.ParseDuration(node.Value)
		return value, err == nil && value >= least && value <= most
	})
}

// sizeUnits lists the units of sizes, in ascending order.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}}

// size returns a decoder of a number of bytes from least to most.
func size(least, most int64) decoder[int64] {
	wanted := "a size in bytes or as 4MiB, from " + formatSize(least) + " to " + formatSize(most)
	return scalar(wanted, func(node *yaml.Node) (int64, bool) {
		value, ok := parseSize(node.Value)
		return value, ok && value >= least && value <= most
	})
}

// parseSize parses a size such as 4MiB or 4194304 and returns it in bytes. It
// returns false if the size is invalid, negative or too large for an int64.
func parseSize(s string) (int64, bool) {
	unit := int64(1)
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(s, u.suffix); ok {
			s, unit = digits, u.bytes
		}
	}
	value, err := strconv.ParseInt(s, 10, 64)
	if err != nil || value < 0 || value > math.MaxInt64/unit {
		return 0, false
	}
	return value * unit, true
}

// formatSize formats a size in the largest unit that divides it.
func formatSize(bytes int64) string {
	for _, u := range slices.Backward(sizeUnits) {
		if bytes >= u.bytes && bytes%u.bytes == 0 {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(bytes, 10)
}

// address returns a decoder of an IP address with a nonzero port.
func address() decoder[netip.AddrPort] {
	return scalar("an IP number with a port, as 10.0.0.1:8080 (host names are not read)", func(node *yaml.Node) (netip.AddrPort, bool) {
		value, err := netip.ParseAddrPort(node.Value)
		return value, err == nil && value.Port() != 0
	})
}

// logLevel decodes a log level.
func logLevel(r *reader, path string, node *yaml.Node, into *slog.Level) {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	word := ""
	oneOf("debug", "info", "warn", "error")(r, path, node, &word)
	if word != "" {
		*into = levels[word]
	}
}

// truncate shortens a value that a finding quotes.
func truncate(s string) string {
	const maxBytes = 60
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes] + "..."
}
