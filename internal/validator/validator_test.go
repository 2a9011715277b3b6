package validator_test

import (
	"strings"
	"testing"

	"dotterelpost.example/dotterelpost/internal/validator"
)

const schemaText = `{"type": "object", "additionalProperties": false, "required": ["a"],
 "properties": {"a": {"type": "number", "maximum": 10}, "b": {"type": "array", "items": {"type": "integer"}}}}`

func TestFaultsNamePathProblemAndRemedy(t *testing.T) {
	schema, err := validator.Compile("test", schemaText)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		text string
		want []string
	}{
		{`{"a": 1, "b": [1, 2]}`, nil},
		{`{"a": 1, "a": 2}`, []string{"f: $.a: line 1: the name stands twice in one object; keep one of the two"}},
		{"{\n\"a\": 1,\n}", []string{"f: $: line 2"}},
		{`{"a": 1} {}`, []string{"f: $: there is more after the end"}},
		{`{"a": 11, "b": [1, "x"], "c": 1}`, []string{"$.a: maximum", "$.b[1]: this is a string; write a integer", "unknown field c"}},
		{`{}`, []string{"f: $: missing a; add it"}},
		{``, []string{"the JSON ends too early"}},
		// Without the limits, these numbers take gigabytes of memory and seconds, or crash the schema
		// library.
		{`{"a": 1e999999999}`, []string{"f: $.a: the number has too many digits or too large an exponent"}},
		{`{"a": 1e-999999999}`, []string{"$.a: the number has"}},
		{`{"a": 0.` + strings.Repeat("1", 100) + `}`, []string{"$.a: the number has"}},
	} {
		var value any
		faults := schema.Decode("f", []byte(c.text), &value)
		if len(c.want) == 0 && len(faults) > 0 || len(faults) < len(c.want) {
			t.Errorf("%s: got %q", c.text, faults)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(faults.Error(), want) {
				t.Errorf("%s: got faults %q, want one containing %q", c.text, faults.Error(), want)
			}
		}
	}
}
