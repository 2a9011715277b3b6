package configurer

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"sync"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/validator"
)

//go:embed platform.json
var platformSchemaText string

var platformSchema = sync.OnceValues(func() (*validator.Schema, error) {
	return validator.Compile("platform", platformSchemaText)
})

// Platform holds the settings of the stand-in for the platform.
type Platform struct {
	Listen          netip.AddrPort   `json:"listen"`
	WritesPerSecond int              `json:"writes-per-second"`
	ReadsPerSecond  int              `json:"reads-per-second"`
	ListLag         modeler.Duration `json:"list-lag"`
	FenceMode       string           `json:"fence-mode"`
	Racks           []Rack           `json:"racks"`
}

// Rack describes a rack of identical workers.
type Rack struct {
	Name             string            `json:"name"`
	Region           string            `json:"region"`
	AvailabilityZone string            `json:"availability-zone"`
	Workers          int               `json:"workers"`
	Slots            int               `json:"slots"`
	Capacity         modeler.Resources `json:"capacity"`
}

// ReadPlatform reads and validates a settings file of the stand-in.
func ReadPlatform(file string) (Platform, validator.Faults) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Platform{}, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "give a readable settings file"}}
	}
	return ParsePlatform(file, text)
}

// ParsePlatform parses and validates the text of a settings file of the stand-in.
func ParsePlatform(file string, text []byte) (Platform, validator.Faults) {
	settings := Platform{FenceMode: "compare-epochs"}
	schema, err := platformSchema()
	if err != nil {
		return settings, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "report this as a bug"}}
	}
	if faults := schema.Decode(file, text, &settings); len(faults) > 0 {
		return settings, faults
	}
	var faults validator.Faults
	firstIndex := make(map[string]int)
	for i, rack := range settings.Racks {
		if earlier, found := firstIndex[rack.Name]; found {
			faults = append(faults, validator.Fault{
				File: file, Path: fmt.Sprintf("$.racks[%d].name", i),
				Problem: fmt.Sprintf("%q stands at $.racks[%d] too", rack.Name, earlier), Remedy: "give each rack its own name",
			})
			continue
		}
		firstIndex[rack.Name] = i
	}
	return settings, faults
}

// WorkersAt returns the workers of all racks. The stand-in serves all of them at the given address.
func (s *Platform) WorkersAt(address netip.AddrPort) []modeler.Worker {
	var workers []modeler.Worker
	for _, rack := range s.Racks {
		for i := range rack.Workers {
			workers = append(workers, modeler.Worker{
				Name:             fmt.Sprintf("%s-w%02d", rack.Name, i+1),
				Region:           rack.Region,
				AvailabilityZone: rack.AvailabilityZone,
				Rack:             rack.Name,
				Capacity:         rack.Capacity,
				Slots:            rack.Slots,
				Address:          address,
			})
		}
	}
	return workers
}
