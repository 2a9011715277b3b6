// Package configurer reads the settings of a process from a JSON file and checks them whole.
//
// # Usage
//
//	settings, faults := configurer.ReadInstance("north-a.json")
//	secrets, err := configurer.ReadSecrets(settings, "north-a.json")
//	platform, faults := configurer.ReadPlatform("platform.json")
//
// A fault names the file, the JSON path, what is wrong and what would be right. All faults of a
// file are reported together.
package configurer
