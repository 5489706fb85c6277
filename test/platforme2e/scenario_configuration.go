package platforme2e

import (
	"net/http"
	"slices"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/platformstandin"
)

// runChange replaces configurations, also by racing, old and broken ones.
func runChange(t *Run) {
	routes := t.Routes()
	t.ReplaceConfiguration(append(t.Routes(), platformstandin.Route{Host: "extra", Kind: "primary", Service: "db2", Timeout: time.Second, Target: time.Second}), 0)
	t.raceConfigurations(routes)
	late := append(routes, platformstandin.Route{Host: "late", Kind: "primary", Service: "db1", Timeout: time.Second})
	if status := t.Operator.Replace(t.version-1, late, 2); status != http.StatusOK {
		t.Errorf("an old version was answered %d, which wants an acknowledgement", status)
	}
	if status := t.Operator.ReplaceInvalid(t.version, t.Operator.ConfigurationBody(t.version, late), 2); status != http.StatusConflict {
		t.Errorf("other content under the current version was answered %d, which wants a refusal", status)
	}
	t.sendInvalidConfigurations(routes)
	t.Sleep(4 * time.Second)
	t.ReplaceConfiguration(routes[1:], 1)
	t.Sleep(4 * time.Second)
	t.ReplaceConfiguration(routes, 2)
	t.Sleep(4 * time.Second)
}

// raceConfigurations sends two versions at once, by two addresses. The version
// between the two stays free, for one that comes late.
func (t *Run) raceConfigurations(routes []platformstandin.Route) {
	racing := make(chan int, 2)
	for index, version := range []uint64{t.version + 1, t.version + versionStep} {
		t.group.Go(func() { racing <- t.Operator.Replace(version, routes, index) })
	}
	for range 2 {
		timeout := time.NewTimer(20 * time.Second)
		status, answered := worker.Receive(racing, timeout.C)
		timeout.Stop()
		if !answered || status != http.StatusOK {
			t.Errorf("one of two racing versions was answered %d", status)
		}
	}
	t.version += versionStep
}

// sendInvalidConfigurations sends what must be rejected.
func (t *Run) sendInvalidConfigurations(routes []platformstandin.Route) {
	version := t.version + 9
	with := func(route platformstandin.Route) string {
		return t.Operator.ConfigurationBody(version, append(slices.Clone(routes), route))
	}
	invalid := map[string]string{
		"cut short":             t.Operator.ConfigurationBody(version, routes)[:100],
		"nothing":               "{}",
		"no routes":             `{"version":999}`,
		"an unknown service":    with(platformstandin.Route{Host: "x", Kind: "primary", Service: "nowhere", Timeout: time.Second}),
		"a host twice":          with(routes[0]),
		"no time":               with(platformstandin.Route{Host: "x", Kind: "primary", Service: "db1"}),
		"a version that is bad": `{"version":"9","routes":[],"services":[],"limits":{}}`,
	}
	for what, body := range invalid {
		if status := t.Operator.ReplaceInvalid(version, body, 0); status/100 != 4 {
			t.Errorf("a configuration with %s was answered %d", what, status)
		}
	}
}
