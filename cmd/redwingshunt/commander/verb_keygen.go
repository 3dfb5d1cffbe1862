package commander

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/certifier"
)

// VerbKeygenSetup describes the verb keygen.
var VerbKeygenSetup = VerbSetup{
	Name:    "keygen",
	Summary: "makes a bearer key, or the certificates of a fleet",
	Options: &VerbKeygenOptions{},
	Parse:   parseVerbKeygen,
	Usage: `Usage: redwingshunt keygen [OPTION]...
Makes a random bearer key of 256 bits and prints it with its hash. Give the key
to the client account or team; put the hash into the document or the settings.
The key is kept nowhere.

With --fleet it makes certificates in place of a key: the authority of the fleet,
unless the folder holds one, and the certificate of an instance, which replaces an
older one. Keep authority.key off the instances.

Options:
  --hash KEY        print the hash of this key, @FILE to read it
  --fleet FOLDER    make certificates in this folder
  --instance NAME   name of the instance, as in its settings
  --address IP      IP number of the instance; may be repeated
  --valid DURATION  how long the certificate is valid, 8760h unless given
` + outputUsage + `
Example:
  redwingshunt keygen --fleet keys --instance node-a --address 10.0.0.1
`,
}

// VerbKeygenOptions are the options of keygen.
type VerbKeygenOptions struct {
	OutputOptions
	Hash     string        `long:"hash"`
	Fleet    string        `long:"fleet"`
	Instance string        `long:"instance"`
	Address  []string      `long:"address"`
	Valid    time.Duration `long:"valid" default:"8760h"`
}

// VerbKeygen generates a key or certificates.
type VerbKeygen struct {
	options   VerbKeygenOptions
	addresses []netip.Addr
}

// keyResult is the JSON output of keygen for a key.
type keyResult struct {
	Key  string               `json:"key,omitempty"` // empty if the key was given with --hash
	Hash redwingshunt.KeyHash `json:"hash"`
}

// certificateResult is the JSON output of keygen for certificates.
type certificateResult struct {
	Files []string `json:"files"`
}

const (
	bearerKeyBytes    = 32                        // length of a random key before encoding
	authorityValidity = 10 * 365 * 24 * time.Hour // validity period of a new authority
	privateKeyMode    = 0o600                     // mode of private key files
	certificateMode   = 0o644                     // mode of certificate files
	folderMode        = 0o700                     // mode of folders for certificates and data
)

func parseVerbKeygen(_ *Console, arguments []string) (Verb, error) {
	v := &VerbKeygen{}
	if _, err := parseArguments("keygen", &v.options, arguments, 0, 0); err != nil {
		return nil, err
	}
	for _, text := range v.options.Address {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return nil, usageFault("keygen", "--address %q is no IP number", text)
		}
		v.addresses = append(v.addresses, address)
	}
	switch {
	case v.options.Fleet == "" && (v.options.Instance != "" || len(v.addresses) > 0):
		return nil, usageFault("keygen", "--instance and --address need --fleet")
	case (v.options.Instance == "") != (len(v.addresses) == 0):
		return nil, usageFault("keygen", "give both --instance and --address")
	case v.options.Fleet != "" && v.options.Hash != "":
		return nil, usageFault("keygen", "--hash contradicts --fleet")
	}
	return v, nil
}

// Run prints a key and its hash, or writes certificates and lists the files.
func (v *VerbKeygen) Run(_ context.Context, console *Console) error {
	if v.options.Fleet != "" {
		return v.certify(console)
	}
	result, err := v.generate()
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	if result.Key != "" {
		fmt.Fprintln(console.Out, "key: ", result.Key)
	}
	fmt.Fprintln(console.Out, "hash:", result.Hash)
	return nil
}

// generate returns a new key with its hash, or only the hash of the key given with
// --hash.
func (v *VerbKeygen) generate() (keyResult, error) {
	if v.options.Hash != "" {
		noEnvironment := &Console{Getenv: func(string) string { return "" }}
		key, err := ConnectOptions{Key: v.options.Hash}.readKey(noEnvironment)
		return keyResult{Hash: authenticator.HashKey(key)}, err
	}
	random := make([]byte, bearerKeyBytes)
	_, _ = rand.Read(random) // never fails
	key := base64.RawURLEncoding.EncodeToString(random)
	return keyResult{Key: key, Hash: authenticator.HashKey(key)}, nil
}

// certify writes the authority if it is new, and the certificate of an instance if
// one is named.
func (v *VerbKeygen) certify(console *Console) error {
	now := time.Now()
	result := certificateResult{Files: []string{}}
	authority, err := v.authority(now, &result)
	if err != nil {
		return err
	}
	if v.options.Instance != "" {
		instance := redwingshunt.InstanceID(v.options.Instance)
		pair, err := authority.Issue(instance, v.addresses, now, v.options.Valid)
		if err != nil {
			return err
		}
		if err := v.writePair(v.options.Instance, pair, &result); err != nil {
			return err
		}
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	for _, file := range result.Files {
		fmt.Fprintln(console.Out, "wrote", file)
	}
	return nil
}

// authority reads the authority from the folder, or creates it there if it does not
// exist.
func (v *VerbKeygen) authority(now time.Time, result *certificateResult) (*certifier.Authority, error) {
	const name = "authority"
	certificate, err := os.ReadFile(v.path(name + ".pem"))
	if err == nil {
		key, err := os.ReadFile(v.path(name + ".key"))
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		return certifier.ParseAuthority(certifier.Pair{Certificate: certificate, Key: key})
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return nil, trace.ConvertSystemError(err)
	}
	if err := os.MkdirAll(v.options.Fleet, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	authority, err := certifier.NewAuthority(now, authorityValidity)
	if err != nil {
		return nil, err
	}
	return authority, v.writePair(name, authority.Pair(), result)
}

// path returns the path of a file in the folder.
func (v *VerbKeygen) path(file string) string { return filepath.Join(v.options.Fleet, file) }

// writePair writes a key and its certificate, in this order, and adds both files to
// the result.
func (v *VerbKeygen) writePair(name string, pair certifier.Pair, result *certificateResult) error {
	files := []struct {
		path string
		text []byte
		mode fs.FileMode
	}{
		{v.path(name + ".key"), pair.Key, privateKeyMode},
		{v.path(name + ".pem"), pair.Certificate, certificateMode},
	}
	for _, file := range files {
		if err := renameio.WriteFile(file.path, file.text, file.mode); err != nil {
			return trace.ConvertSystemError(err)
		}
		result.Files = append(result.Files, file.path)
	}
	return nil
}
