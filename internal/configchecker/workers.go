package configchecker

import (
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// CheckWorkers returns the findings about a configuration and the workers that are listed now. All of
// them are warnings, because workers come and go.
func CheckWorkers(configuration *configprovider.Configuration, workers []workerdriver.Worker) []Finding {
	c := &checker{}
	var capacity modeler.Resources
	count := make(map[string]int)
	for i := range workers {
		if !workers[i].Draining {
			count[workers[i].Service]++
		}
		capacity = capacity.Plus(workers[i].Capacity)
	}
	for _, service := range configuration.Services {
		if count[service.Name] == 0 {
			c.add(Warning, elementPath("services", service.Name), "start workers for the service", "no worker of the service is listed that is not leaving, so its jobs wait")
		}
	}
	for i := range configuration.Teams {
		team := &configuration.Teams[i]
		path := elementPath("teams", team.Name) + ".quota"
		for _, dimension := range []struct {
			name            string
			quota, capacity float64
		}{
			{"processors", team.Quota.Processors.Number(), capacity.Processors.Number()},
			{"megabytes of memory", team.Quota.Memory.MBytes(), capacity.Memory.MBytes()},
			{"accelerators", float64(team.Quota.Accelerators), float64(capacity.Accelerators)},
		} {
			if dimension.quota > dimension.capacity {
				c.add(Warning, path, "lower the quota, or add workers", "%g %s exceed what all listed workers have (%g), so only best-effort tasks can reach this limit", dimension.quota, dimension.name, dimension.capacity)
			}
		}
	}
	return c.findings
}
