// Package configurer reads the settings of a process from a JSON file and validates them.
//
// # Usage
//
//	settings, faults := configurer.ReadInstance("north-a.json")
//	secrets, faults := configurer.ReadSecrets(settings, "north-a.json")
//	platform, faults := configurer.ReadPlatform("platform.json")
//
// A fault names the file, the JSON path, the problem and the remedy. All faults of a file are reported
// together.
package configurer
