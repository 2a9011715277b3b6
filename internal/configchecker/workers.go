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
		count[workers[i].Service]++
		capacity = capacity.Plus(workers[i].Capacity)
	}
	for _, service := range configuration.Services {
		if count[service.Name] == 0 {
			c.add(Warning, elementPath("services", service.Name), "start workers for the service", "no worker of the service is listed, so its jobs wait")
		}
	}
	for i := range configuration.Teams {
		team := &configuration.Teams[i]
		path := elementPath("teams", team.Name) + ".quota"
		if quota := team.Quota.Processors; quota > capacity.Processors {
			c.add(Warning, path, "lower the quota, or add workers", "%d thousandths of a processor exceed all listed workers (%d), so the quota never limits the team", quota, capacity.Processors)
		}
		if quota := team.Quota.Memory; quota > capacity.Memory {
			c.add(Warning, path, "lower the quota, or add workers", "%s exceed the memory of all listed workers (%s), so the quota never limits the team", quota, capacity.Memory)
		}
	}
	return c.findings
}
