package commander

// Options shared by several verbs.

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/redwingshunt/redwingshunt/requester"
)

// The environment variables that are read when an option is not given.
const (
	envAdmin     = "REDWINGSHUNT_ADMIN"     // addresses, separated by spaces
	envKey       = "REDWINGSHUNT_KEY"       // bearer key
	envAuthority = "REDWINGSHUNT_AUTHORITY" // path of a PEM file
)

// ConnectOptions select the instances to query and the key to authenticate with.
type ConnectOptions struct {
	Admin     []string `long:"admin"`
	Key       string   `long:"key"`
	Authority string   `long:"authority"`
}

// OutputOptions select the output format.
type OutputOptions struct {
	JSON bool `long:"json"`
}

// connectUsage describes ConnectOptions in a usage text.
const connectUsage = `
  --admin ADDRESS   administration API of an instance, as https://10.0.0.1:8082;
                    may be repeated; otherwise $REDWINGSHUNT_ADMIN
  --key KEY         key of a team, @FILE to read it; otherwise $REDWINGSHUNT_KEY
  --authority FILE  PEM file that the instance's certificate is signed by;
                    otherwise $REDWINGSHUNT_AUTHORITY, or that of the system
`

// outputUsage describes OutputOptions in a usage text.
const outputUsage = `  --json            print one JSON value on one line
`

// parseArguments parses options into a struct and returns the positional arguments.
// It fails unless there are between minCount and maxCount of them.
func parseArguments(verb string, options any, arguments []string, minCount, maxCount int) ([]string, error) {
	parser := flags.NewParser(options, flags.PassDoubleDash)
	rest, err := parser.ParseArgs(arguments)
	switch {
	case err != nil:
		return nil, usageFault(verb, "%s", strings.ReplaceAll(err.Error(), "`", "'"))
	case len(rest) < minCount:
		return nil, usageFault(verb, "an argument is missing")
	case len(rest) > maxCount:
		return nil, usageFault(verb, "%q is one argument too many", rest[maxCount])
	}
	return rest, nil
}

// client returns a client for the instances named by the options or the environment.
func (o ConnectOptions) client(console *Console, verb string) (*requester.Client, error) {
	addresses := o.Admin
	if len(addresses) == 0 {
		addresses = strings.Fields(console.Getenv(envAdmin))
	}
	if len(addresses) == 0 {
		return nil, usageFault(verb, "no instance is named; give --admin ADDRESS or set %s", envAdmin)
	}
	targets, err := requester.ParseTargets(addresses)
	if err != nil {
		return nil, usageFault(verb, "%s", trace.UserMessage(err))
	}
	key, err := o.readKey(console)
	if err != nil {
		return nil, err
	}
	config, err := o.readAuthority(console)
	if err != nil {
		return nil, err
	}
	return requester.New(requester.Options{Targets: targets, Key: key, TLS: config}), nil
}

// readKey returns the bearer key given by the option or the environment, or read
// from the file named after an @.
func (o ConnectOptions) readKey(console *Console) (string, error) {
	key := o.Key
	if key == "" {
		key = console.Getenv(envKey)
	}
	path, isFile := strings.CutPrefix(key, "@")
	if !isFile {
		return key, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", &Fault{Code: ExitUsage, Text: err.Error(), Next: "give the path of a file that holds the key"}
	}
	return strings.TrimSpace(string(text)), nil
}

// readAuthority returns the TLS configuration that trusts the given authority, or
// nil to use the system's authorities.
func (o ConnectOptions) readAuthority(console *Console) (*tls.Config, error) {
	path := o.Authority
	if path == "" {
		path = console.Getenv(envAuthority)
	}
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Fault{Code: ExitUsage, Text: err.Error(), Next: "give the path of a PEM file of the authority"}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &Fault{Code: ExitUsage, Text: path + " holds no certificate", Next: "give the authority's certificate, not its key"}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// queryEach queries each instance of a client. Instances that fail are reported as
// progress and left out; if all fail, the last error is returned.
func queryEach[T any](console *Console, client *requester.Client, query func(instance *requester.Client) (T, error)) ([]T, error) {
	var results []T
	var errs []error
	for _, instance := range client.Each() {
		result, err := query(instance)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		results = append(results, result)
	}
	if len(results) == 0 {
		return nil, errs[len(errs)-1]
	}
	for _, err := range errs {
		console.Progress("%v", err)
	}
	return results, nil
}
