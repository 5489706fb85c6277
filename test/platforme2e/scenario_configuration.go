package platforme2e

import (
	"net/http"
	"slices"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/platformstandin"
)

// runChange replaces configurations, also by racing, old and broken ones.
func runChange(r *Run) {
	routes := r.Routes()
	r.ReplaceConfiguration(append(r.Routes(), platformstandin.Route{Host: "extra", Kind: "primary", Service: "db2", Timeout: time.Second, Target: time.Second}), 0)
	r.raceConfigurations(routes)
	late := append(routes, platformstandin.Route{Host: "late", Kind: "primary", Service: "db1", Timeout: time.Second})
	if status := r.Operator.Replace(r.version-1, late, 2); status != http.StatusOK {
		r.Errorf("an old version was answered %d, which wants an acknowledgement", status)
	}
	if status := r.Operator.ReplaceInvalid(r.version, r.Operator.ConfigurationBody(r.version, late), 2); status != http.StatusConflict {
		r.Errorf("other content under the current version was answered %d, which wants a refusal", status)
	}
	r.sendInvalidConfigurations(routes)
	r.Sleep(4 * time.Second)
	r.ReplaceConfiguration(routes[1:], 1)
	r.Sleep(4 * time.Second)
	r.ReplaceConfiguration(routes, 2)
	r.Sleep(4 * time.Second)
}

// raceConfigurations sends two versions at once, by two addresses. The version
// between the two stays free, for one that comes late.
func (r *Run) raceConfigurations(routes []platformstandin.Route) {
	racing := make(chan int, 2)
	for index, version := range []uint64{r.version + 1, r.version + versionStep} {
		r.group.Go(func() { racing <- r.Operator.Replace(version, routes, index) })
	}
	for range 2 {
		timeout := time.NewTimer(20 * time.Second)
		status, answered := worker.Receive(racing, timeout.C)
		timeout.Stop()
		if !answered || status != http.StatusOK {
			r.Errorf("one of two racing versions was answered %d", status)
		}
	}
	r.version += versionStep
}

// sendInvalidConfigurations sends what must be rejected.
func (r *Run) sendInvalidConfigurations(routes []platformstandin.Route) {
	version := r.version + 9
	with := func(route platformstandin.Route) string {
		return r.Operator.ConfigurationBody(version, append(slices.Clone(routes), route))
	}
	invalid := map[string]string{
		"cut short":             r.Operator.ConfigurationBody(version, routes)[:100],
		"nothing":               "{}",
		"no routes":             `{"version":999}`,
		"an unknown service":    with(platformstandin.Route{Host: "x", Kind: "primary", Service: "nowhere", Timeout: time.Second}),
		"a host twice":          with(routes[0]),
		"no time":               with(platformstandin.Route{Host: "x", Kind: "primary", Service: "db1"}),
		"a version that is bad": `{"version":"9","routes":[],"services":[],"limits":{}}`,
	}
	for what, body := range invalid {
		if status := r.Operator.ReplaceInvalid(version, body, 0); status/100 != 4 {
			r.Errorf("a configuration with %s was answered %d", what, status)
		}
	}
}
