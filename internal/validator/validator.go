package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// MaxBytes is the maximum size of a settings file or a ticket.
const MaxBytes = 4 << 20

// Fault is a fault in a file. Path is a JSON path such as "$.pools[2].name".
type Fault struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path"`
	Problem string `json:"wrong"`
	Remedy  string `json:"right"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Path, f.Problem, f.Remedy)
}

// Faults holds all faults of a file. It implements error; an empty value means that there is none.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Schema validates one kind of file.
type Schema struct {
	schema *jsonschema.Schema
}

// Compile compiles a JSON schema. Name identifies it in error messages.
func Compile(name, text string) (*Schema, error) {
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "read schema "+name)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, errors.Wrap(err, "add schema "+name)
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return nil, errors.Wrap(err, "compile schema "+name)
	}
	return &Schema{schema: compiled}, nil
}

// Decode validates text and decodes it into value. If it returns faults, value may be incomplete.
func (s *Schema) Decode(file string, text []byte, value any) Faults {
	if fault := checkSyntax(text); fault != nil {
		fault.File = file
		return Faults{*fault}
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "write one JSON value"}}
	}
	if faults := s.check(file, document); len(faults) > 0 {
		return faults
	}
	if err := json.Unmarshal(text, value); err != nil {
		return Faults{decodeFault(file, err)}
	}
	return nil
}

// checkSyntax returns the first syntax error, duplicate name or number outside the limits, or nil.
func checkSyntax(text []byte) *Fault {
	if len(text) > MaxBytes {
		return &Fault{
			Path:    "$",
			Problem: fmt.Sprintf("the file has %d bytes", len(text)),
			Remedy:  fmt.Sprintf("keep it within %d bytes", MaxBytes),
		}
	}
	decoder := jsontext.NewDecoder(bytes.NewReader(text))
	for {
		token, err := decoder.ReadToken()
		if err != nil {
			return syntaxFault(text, err)
		}
		if token.Kind() == '0' && !isNumberWithinLimits(token.String()) {
			return &Fault{
				Path:    pathFromPointer(decoder.StackPointer()),
				Problem: "the number has too many digits or too large an exponent",
				Remedy:  fmt.Sprintf("write at most %d characters and an exponent of at most %d", maxNumberBytes, maxExponent),
			}
		}
		if decoder.StackDepth() == 0 {
			break
		}
	}
	if !jsontext.Value(text).IsValid() {
		return &Fault{Path: "$", Problem: "there is more after the end of the JSON value", Remedy: "write one JSON value only"}
	}
	return nil
}

// Limits of a number. The schema library represents numbers as exact fractions: a number such as
// 1e99999999 takes gigabytes of memory, and one that it can't represent, such as 1e999999999, crashes it.
const (
	maxNumberBytes = 64
	maxExponent    = 300
)

func isNumberWithinLimits(number string) bool {
	if len(number) > maxNumberBytes {
		return false
	}
	exponentIndex := strings.IndexAny(number, "eE")
	if exponentIndex < 0 {
		return true
	}
	exponent, err := strconv.Atoi(number[exponentIndex+1:])
	return err == nil && exponent >= -maxExponent && exponent <= maxExponent
}

func syntaxFault(text []byte, err error) *Fault {
	var syntactic *jsontext.SyntacticError
	if !errors.As(err, &syntactic) {
		return &Fault{Path: "$", Problem: "the JSON ends too early", Remedy: "close every bracket and quote"}
	}
	line := 1 + bytes.Count(text[:min(int(syntactic.ByteOffset), len(text))], []byte("\n"))
	fault := &Fault{
		Path:    pathFromPointer(syntactic.JSONPointer),
		Problem: fmt.Sprintf("line %d: %v", line, syntactic.Err),
		Remedy:  "write plain JSON as in examples/",
	}
	if errors.Is(syntactic.Err, jsontext.ErrDuplicateName) {
		fault.Problem = fmt.Sprintf("line %d: the name stands twice in one object", line)
		fault.Remedy = "keep one of the two"
	}
	return fault
}

func decodeFault(file string, err error) Fault {
	fault := Fault{File: file, Path: "$", Problem: err.Error(), Remedy: "see docs/operators/ for the units of each field"}
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		fault.Path = "$." + mistyped.Field
	}
	return fault
}

func (s *Schema) check(file string, document any) Faults {
	err := s.schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	var faults Faults
	collectFaults(file, invalid, &faults)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// collectFaults appends a fault for each leaf of the error tree. Inner errors only state that there is
// an error below them.
func collectFaults(file string, invalid *jsonschema.ValidationError, faults *Faults) {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			collectFaults(file, cause, faults)
		}
		return
	}
	path := joinPath(invalid.InstanceLocation)
	problem, remedy := describe(invalid.ErrorKind)
	*faults = append(*faults, Fault{File: file, Path: path, Problem: problem, Remedy: remedy})
}

// describe returns the problem and the remedy of a violation of the schema.
func describe(fault jsonschema.ErrorKind) (problem, remedy string) {
	switch fault := fault.(type) {
	case *kind.AdditionalProperties:
		return "unknown field " + strings.Join(fault.Properties, ", "), "remove it or correct its name"
	case *kind.Required:
		return "missing " + strings.Join(fault.Missing, ", "), "add it"
	case *kind.Type:
		return "this is a " + fault.Got, "write a " + strings.Join(fault.Want, " or ")
	case *kind.Pattern:
		return fmt.Sprintf("%q has the wrong form or unit", fault.Got), "write it to match " + fault.Want
	case *kind.MinItems:
		return fmt.Sprintf("the list has %d entries", fault.Got), fmt.Sprintf("give at least %d", fault.Want)
	default:
		return fault.LocalizedString(message.NewPrinter(language.English)), "change the value accordingly"
	}
}

func pathFromPointer(pointer jsontext.Pointer) string {
	return joinPath(strings.Split(strings.TrimPrefix(string(pointer), "/"), "/"))
}

// joinPath returns the JSON path of a list of names and indexes.
func joinPath(parts []string) string {
	var path strings.Builder
	path.WriteString("$")
	for _, part := range parts {
		if part == "" {
			continue
		}
		if _, err := strconv.Atoi(part); err == nil {
			path.WriteString("[" + part + "]")
			continue
		}
		path.WriteString("." + part)
	}
	return path.String()
}
