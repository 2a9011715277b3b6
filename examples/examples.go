// Package examples embeds the example files, so that the demo needs no files.
//
// # Usage
//
//	text, err := examples.Files.ReadFile("association/ticket.json")
//
// The shared cell has three regions. The Association calls them Porto, Coimbra and Faro; Footlights
// calls them Nottingham, Birmingham and Hereford. Both have 50 workers there, eight to a rack, each
// with an executor of eight slots.
package examples

import "embed"

// Files holds the tickets of both users, and the stand-in's settings with the ticket of the cell.
//
//go:embed cell association footlights
var Files embed.FS
