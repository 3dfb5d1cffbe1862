package commander

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
)

// VerbKeygenSetup is the verb keygen.
var VerbKeygenSetup = VerbSetup{
	Name:    "keygen",
	Summary: "makes a bearer key and prints it with its hash",
	Options: &VerbKeygenOptions{},
	Parse:   parseVerbKeygen,
	Usage: `Usage: redwingshunt keygen [OPTION]...
Makes a random bearer key of 256 bits and prints it with its hash. Give the key
to the client account or team; put the hash into the document or the settings.
The key is kept nowhere.

Options:
  --hash KEY        print the hash of this key, @FILE to read it
` + outputUsage,
}

// VerbKeygenOptions are the options of keygen.
type VerbKeygenOptions struct {
	OutputOptions
	Hash string `long:"hash"`
}

// VerbKeygen makes a key.
type VerbKeygen struct {
	options VerbKeygenOptions
}

// generatedKey is the answer of keygen.
type generatedKey struct {
	Key  string               `json:"key"`
	Hash redwingshunt.KeyHash `json:"hash"`
}

// keyBytes is the length of a random key before it is written as text.
const keyBytes = 32

func parseVerbKeygen(_ *Console, arguments []string) (Verb, error) {
	v := &VerbKeygen{}
	_, err := parse("keygen", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints a key and its hash.
func (v *VerbKeygen) Run(_ context.Context, console *Console) error {
	key, err := ConnectOptions{Key: v.options.Hash}.readKey(&Console{Getenv: func(string) string { return "" }})
	if err != nil {
		return err
	}
	if key == "" {
		random := make([]byte, keyBytes)
		_, _ = rand.Read(random) // never fails
		key = base64.RawURLEncoding.EncodeToString(random)
	}
	generated := generatedKey{Key: key, Hash: administrator.HashKey(key)}
	if v.options.JSON {
		return console.JSON(generated)
	}
	fmt.Fprintf(console.Out, "key:  %s\nhash: %s\n", generated.Key, generated.Hash)
	return nil
}
