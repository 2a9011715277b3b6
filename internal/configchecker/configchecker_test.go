package configchecker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/configchecker"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// soundConfiguration returns a configuration without findings.
func soundConfiguration() *configprovider.Configuration {
	queue := func(name, prefix string) configprovider.Queue {
		return configprovider.Queue{
			Name: name, Host: "quotes.example", PathPrefix: prefix, Service: "desk", Timeout: 3 * time.Second, Policy: configprovider.Policy{
				Target: time.Second, Stretch: 2, MaxFailures: 3,
				Advisor: &configprovider.AdvisorSettings{BaseLatency: 100 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: time.Second},
			},
		}
	}
	team := func(name string) configprovider.Team {
		return configprovider.Team{Name: name, Keys: []authenticator.Digest{authenticator.DigestOf("key of " + name)}, Weight: 5, Quota: modeler.Resources{Processors: 4000, Memory: datasize.GB}}
	}
	return &configprovider.Configuration{
		Version:  7,
		Queues:   []configprovider.Queue{queue("survey", "/survey/"), queue("quote", "/quote/")},
		Services: []configprovider.Service{{Name: "desk"}},
		Teams:    []configprovider.Team{team("porto"), team("faro")},
	}
}

func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(c *configprovider.Configuration)
		severity configchecker.Severity
		path     string
		problem  string
	}{
		"unknown service":     {func(c *configprovider.Configuration) { c.Queues[0].Service = "other" }, configchecker.Error, `$.queues["survey"].service`, "no service"},
		"name twice":          {func(c *configprovider.Configuration) { c.Queues[1].Name = "survey" }, configchecker.Error, `$.queues["survey"].name`, "two queues"},
		"same address":        {func(c *configprovider.Configuration) { c.Queues[1].PathPrefix = "/survey/" }, configchecker.Error, `$.queues["quote"].path-prefix`, "can never match"},
		"no slash at the end": {func(c *configprovider.Configuration) { c.Queues[1].PathPrefix = "/quote" }, configchecker.Warning, `$.queues["quote"].path-prefix`, "without a slash"},
		"host with port":      {func(c *configprovider.Configuration) { c.Queues[0].Host += ":80" }, configchecker.Error, `$.queues["survey"].host`, "contains a port"},
		"empty host":          {func(c *configprovider.Configuration) { c.Queues[0].Host = "" }, configchecker.Error, `$.queues["survey"].host`, "name no host"},
		"prefix with a query": {func(c *configprovider.Configuration) { c.Queues[0].PathPrefix = "/survey?x/" }, configchecker.Warning, `$.queues["survey"].path-prefix`, "encode"},
		"empty prefix":        {func(c *configprovider.Configuration) { c.Queues[0].PathPrefix = "" }, configchecker.Error, `$.queues["survey"].path-prefix`, "every path"},
		"queue without name":  {func(c *configprovider.Configuration) { c.Queues[0].Name = "" }, configchecker.Error, `$.queues[""].name`, "empty"},
		"team without name":   {func(c *configprovider.Configuration) { c.Teams[0].Name = "" }, configchecker.Error, `$.teams[""].name`, "empty"},
		"no teams listed":     {func(c *configprovider.Configuration) { c.Teams = []configprovider.Team{} }, configchecker.Warning, "$.teams", "empty"},
		"version":             {func(c *configprovider.Configuration) { c.Version = 0 }, configchecker.Error, "$.version", "0"},
		"timeout, no advisor": {func(c *configprovider.Configuration) {
			c.Queues[0].Timeout, c.Queues[0].Advisor = time.Millisecond, nil
		}, configchecker.Warning, `$.queues["survey"].timeout`, "no time"},
		"negative latency":    {func(c *configprovider.Configuration) { c.Queues[0].Advisor.BaseLatency = -time.Second }, configchecker.Error, `$.queues["survey"].advisor.base-latency`, "negative"},
		"short token":         {func(c *configprovider.Configuration) { c.Queues[0].Advisor.TokenLifetime = 200 * time.Millisecond }, configchecker.Warning, `$.queues["survey"].advisor.token-lifetime`, "before an assignment"},
		"relative prefix":     {func(c *configprovider.Configuration) { c.Queues[0].PathPrefix = "survey/" }, configchecker.Error, `$.queues["survey"].path-prefix`, "slash"},
		"target below advice": {func(c *configprovider.Configuration) { c.Queues[0].Target, c.Queues[0].Stretch = time.Millisecond, 0 }, configchecker.Error, `$.queues["survey"].target`, "every job is late"},
		"short jobs late":     {func(c *configprovider.Configuration) { c.Queues[0].Target = time.Millisecond }, configchecker.Warning, `$.queues["survey"].target`, "short jobs"},
		"no objective": {func(c *configprovider.Configuration) {
			c.Queues[0].Target, c.Queues[0].Stretch, c.Queues[0].Advisor = 0, 0, nil
		}, configchecker.Error, `$.queues["survey"].target`, "objective"},
		"token lifetime":    {func(c *configprovider.Configuration) { c.Queues[0].Advisor.TokenLifetime = 0 }, configchecker.Error, `$.queues["survey"].advisor.token-lifetime`, "expire"},
		"short timeout":     {func(c *configprovider.Configuration) { c.Queues[0].Timeout = time.Millisecond }, configchecker.Warning, `$.queues["survey"].timeout`, "no time"},
		"negative duration": {func(c *configprovider.Configuration) { c.Queues[0].Timeout = -1 }, configchecker.Error, `$.queues["survey"].timeout`, "negative"},
		"key of two teams":  {func(c *configprovider.Configuration) { c.Teams[1].Keys = c.Teams[0].Keys }, configchecker.Error, `$.teams["faro"].keys[0]`, `"porto" holds the key too; calls with it count`},
		"key twice":         {func(c *configprovider.Configuration) { c.Teams[1].Keys = append(c.Teams[1].Keys, c.Teams[1].Keys[0]) }, configchecker.Warning, `$.teams["faro"].keys[1]`, "twice"},
		"empty key":         {func(c *configprovider.Configuration) { c.Teams[1].Keys[0] = authenticator.DigestOf("") }, configchecker.Error, `$.teams["faro"].keys[0]`, "empty"},
		"no key":            {func(c *configprovider.Configuration) { c.Teams[1].Keys = nil }, configchecker.Warning, `$.teams["faro"].keys`, "no key"},
		"team twice":        {func(c *configprovider.Configuration) { c.Teams[1].Name = "porto" }, configchecker.Error, `$.teams["porto"].name`, "two teams"},
		"no weight":         {func(c *configprovider.Configuration) { c.Teams[0].Weight = 0 }, configchecker.Warning, `$.teams["porto"].weight`, "beyond its share"},
		"negative weight":   {func(c *configprovider.Configuration) { c.Teams[0].Weight = -1 }, configchecker.Error, `$.teams["porto"].weight`, "negative"},
		"negative quota":    {func(c *configprovider.Configuration) { c.Teams[0].Quota.Processors = -1 }, configchecker.Error, `$.teams["porto"].quota`, "negative"},
		"unused service": {func(c *configprovider.Configuration) {
			c.Services = append(c.Services, configprovider.Service{Name: "idle"})
		}, configchecker.Warning, `$.services["idle"]`, "no queue"},
		"service twice": {func(c *configprovider.Configuration) { c.Services = append(c.Services, c.Services[0]) }, configchecker.Error, `$.services["desk"].name`, "two services"},
		"body size":     {func(c *configprovider.Configuration) { c.Limits.MaxBodyBytes = -1 }, configchecker.Error, "$.limits", "negative"},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := soundConfiguration()
			test.change(configuration)
			findings := configchecker.Check(configuration)
			if len(findings) != 1 {
				t.Fatalf("got the findings %+v, want one", findings)
			}
			f := findings[0]
			if f.Severity != test.severity || f.Path != test.path || !strings.Contains(f.Problem, test.problem) || f.Remedy == "" {
				t.Errorf("got %+v, want severity %s, path %s and a problem with %q", f, test.severity, test.path, test.problem)
			}
		})
	}
	if findings := configchecker.Check(soundConfiguration()); len(findings) > 0 {
		t.Errorf("a sound configuration has the findings %+v", findings)
	}
}

func TestPrefixThatHidesSomeJobs(t *testing.T) {
	configuration := soundConfiguration()
	configuration.Queues[1].PathPrefix = "/survey/a"
	findings := configchecker.Check(configuration)
	if len(findings) != 2 || configchecker.HasErrors(findings) || !strings.Contains(findings[1].Problem, `job ID begins with "a" go to "quote"`) {
		t.Errorf("got %+v, want two warnings, the second about the jobs that the longer prefix takes", findings)
	}
}

func TestCheckSuccessor(t *testing.T) {
	inForce, next := soundConfiguration(), soundConfiguration()
	next.Teams = nil
	findings := configchecker.CheckSuccessor(inForce, next)
	if len(findings) != 2 || findings[0].Path != "$.version" || findings[0].Severity != configchecker.Error || findings[1].Path != "$.teams" {
		t.Errorf("got %+v, want an error about the version and a warning about the teams", findings)
	}
	next = soundConfiguration()
	next.Version++
	if findings := configchecker.CheckSuccessor(inForce, next); len(findings) > 0 {
		t.Errorf("a sound successor has the findings %+v", findings)
	}
}

func TestCheckWorkers(t *testing.T) {
	configuration := soundConfiguration()
	findings := configchecker.CheckWorkers(configuration, []workerdriver.Worker{{Service: "other", Capacity: modeler.Resources{Processors: 3000, Memory: datasize.GB}}})
	if len(findings) != 3 || configchecker.HasErrors(findings) {
		t.Errorf("got %+v, want warnings about the service and the quotas of both teams", findings)
	}
	if findings := configchecker.CheckWorkers(configuration, []workerdriver.Worker{{Service: "desk", Capacity: modeler.Resources{Processors: 4000, Memory: datasize.GB}}}); len(findings) > 0 {
		t.Errorf("sufficient workers have the findings %+v", findings)
	}
}

func TestCompare(t *testing.T) {
	inForce, next := soundConfiguration(), soundConfiguration()
	if changes := configchecker.Compare(inForce, next); len(changes) > 0 {
		t.Errorf("the same configuration differs: %q", changes)
	}
	next.Queues[0].Target = 2 * time.Second
	next.Queues[1].Name = "bid"
	next.Services = append(next.Services, configprovider.Service{Name: "archive"})
	next.Teams[0].Keys = []authenticator.Digest{authenticator.DigestOf("a new key")}
	next.Teams[0].Weight = 6
	next.Teams[1] = configprovider.Team{Name: "lagos", Keys: next.Teams[1].Keys, Weight: 1}
	next.Queues = append(next.Queues, configprovider.Queue{Name: "all", Host: "quotes.example", PathPrefix: "/"})
	next.Sort()
	next.Limits.MaxBodyBytes = 1000
	changes := strings.Join(configchecker.Compare(inForce, next), "\n")
	for _, want := range []string{
		`queue "survey", target: 1s becomes 2s`, `queue "bid" is added`, `queue "quote" is removed: requests to quotes.example/quote/ go to queue "bid"`, `service "archive" is added`,
		`team "porto", keys: 1 added, 1 removed`, "1 keys are revoked", `1 keys pass from team "faro" to team "lagos"`, `team "porto", weight in jobs a second: 5 becomes 6`, `team "faro" is removed, and its accepted jobs go on`, `the largest size of a request's body, in bytes: 0 becomes 1000`,
	} {
		if !strings.Contains(changes, want) {
			t.Errorf("%q is missing in\n%s", want, changes)
		}
	}
	if strings.Contains(changes, "a new key") {
		t.Error("the changes show a key")
	}
}
