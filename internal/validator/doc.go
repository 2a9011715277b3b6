// Package validator validates and decodes JSON files written by people, such as settings and tickets. It
// reports all faults of a file together, each with its path, the problem and the remedy.
//
// # Usage
//
//	schema, err := validator.Compile("settings", schemaText)
//	faults := schema.Decode("north.json", text, &settings)
//	if len(faults) > 0 { return faults }
//
// The jsontext library checks the syntax and rejects duplicate names; a JSON schema checks the
// structure. Rules that a schema can't express are checked by the package that defines the type, which
// reports further Faults.
package validator
