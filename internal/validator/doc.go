// Package validator reads JSON that people write, settings and tickets, and names every fault in it
// at once: where it is, what is wrong there and what would be right.
//
// # Usage
//
//	schema, err := validator.Compile("settings", schemaText)
//	faults := schema.Decode("north.json", text, &settings)
//	if len(faults) > 0 { return faults }
//
// The syntax and repeated names are checked by the jsontext library, shapes by a JSON schema;
// what a schema can't express is checked by the package that owns the type, which adds Faults.
package validator
