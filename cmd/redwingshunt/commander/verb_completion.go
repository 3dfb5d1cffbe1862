package commander

import (
	"context"
	"fmt"
	"reflect"
	"strings"
)

// VerbCompletionSetup describes the verb completion.
var VerbCompletionSetup = VerbSetup{
	Name:    "completion",
	Summary: "prints a script that completes verbs and options in a shell",
	Options: &struct{}{},
	Parse:   parseVerbCompletion,
	Usage: `Usage: redwingshunt completion SHELL
Prints a script for bash, zsh or fish that completes verbs and options.

Example:
  source <(redwingshunt completion bash)
`,
}

// VerbCompletion prints a completion script.
type VerbCompletion struct {
	shell string
}

func parseVerbCompletion(_ *Console, arguments []string) (Verb, error) {
	rest, err := parseArguments("completion", &struct{}{}, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	switch rest[0] {
	case "bash", "zsh", "fish":
		return &VerbCompletion{shell: rest[0]}, nil
	}
	return nil, usageFault("completion", "%q is no shell that is known; give bash, zsh or fish", rest[0])
}

// Run prints the script.
func (v *VerbCompletion) Run(_ context.Context, console *Console) error {
	if v.shell == "fish" {
		_, err := fmt.Fprint(console.Out, fishScript())
		return err
	}
	if v.shell == "zsh" {
		fmt.Fprintln(console.Out, "autoload -U +X bashcompinit && bashcompinit")
	}
	_, err := fmt.Fprint(console.Out, bashScript())
	return err
}

// bashScript returns a script that completes the first word with verbs and the
// others with the options of the verb, or with file names.
func bashScript() string {
	var b strings.Builder
	b.WriteString("_redwingshunt() {\n  local options verbs word=\"${COMP_WORDS[COMP_CWORD]}\"\n  verbs=\"")
	for i, setup := range lookupTable() {
		if i > 0 {
			b.WriteString(" ")
		}
		b.WriteString(setup.Name)
	}
	b.WriteString("\"\n  if [ \"$COMP_CWORD\" -eq 1 ]; then\n    COMPREPLY=($(compgen -W \"$verbs\" -- \"$word\"))\n    return\n  fi\n")
	b.WriteString("  case \"${COMP_WORDS[1]}\" in\n")
	for _, setup := range lookupTable() {
		fmt.Fprintf(&b, "    %s) options=\"%s\" ;;\n", setup.Name, strings.Join(optionNames(setup.Options), " "))
	}
	b.WriteString("  esac\n  COMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n}\ncomplete -o default -F _redwingshunt redwingshunt\n")
	return b.String()
}

// fishScript returns the equivalent of bashScript for fish.
func fishScript() string {
	var b strings.Builder
	for _, setup := range lookupTable() {
		fmt.Fprintf(&b, "complete -c redwingshunt -n __fish_use_subcommand -a %s -d '%s'\n", setup.Name, strings.ReplaceAll(setup.Summary, "'", "’"))
		for _, name := range optionNames(setup.Options) {
			fmt.Fprintf(&b, "complete -c redwingshunt -n '__fish_seen_subcommand_from %s' -l %s\n", setup.Name, strings.TrimPrefix(name, "--"))
		}
	}
	return b.String()
}

// optionNames returns the options of a verb in the form --name, given a pointer to
// its options.
func optionNames(options any) []string {
	return optionsOf(reflect.TypeOf(options).Elem())
}

// optionsOf returns the options of a struct type and of its embedded structs.
func optionsOf(structType reflect.Type) []string {
	var names []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		if field.Anonymous {
			names = append(names, optionsOf(field.Type)...)
		}
		if name := field.Tag.Get("long"); name != "" {
			names = append(names, "--"+name)
		}
	}
	return names
}
