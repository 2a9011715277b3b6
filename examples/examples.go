// Package examples embeds the example files, so that the demo does not depend on the working directory.
//
// # Usage
//
//	text, err := examples.Files.ReadFile("association/ticket.json")
//
// The cell has three regions and is shared by two teams. Association calls the regions Porto, Coimbra
// and Faro; Footlights calls them Nottingham, Birmingham and Hereford. Both have 50 workers there, eight
// per rack, each with an executor of eight slots.
package examples

import "embed"

// Files contains the ticket of each team, the settings of the simulated platform and the ticket of the
// cell.
//
//go:embed cell association footlights
var Files embed.FS
