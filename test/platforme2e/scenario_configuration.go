package platforme2e

import (
	"net/http"
	"slices"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/platformstandin"
)

// runChange replaces configurations, and sends concurrent, outdated and invalid ones.
func runChange(r *Run) {
	routes := r.Routes()
	r.ReplaceConfiguration(append(r.Routes(), platformstandin.Route{Host: "extra", Kind: "primary", Service: "db2", Timeout: time.Second, Target: time.Second}), 0)
	r.raceConfigurations(routes)
	lateRoutes := append(routes, platformstandin.Route{Host: "late", Kind: "primary", Service: "db1", Timeout: time.Second})
	if status := r.Operator.Replace(r.version-1, lateRoutes, 2); status != http.StatusOK {
		r.Errorf("an outdated version was answered with status %d, want an acknowledgement", status)
	}
	if status := r.Operator.ReplaceInvalid(r.version, r.Operator.ConfigurationBody(r.version, lateRoutes), 2); status != http.StatusConflict {
		r.Errorf("different content under the current version was answered with status %d, want a conflict", status)
	}
	r.sendInvalidConfigurations(routes)
	r.Sleep(4 * time.Second)
	r.ReplaceConfiguration(routes[1:], 1)
	r.Sleep(4 * time.Second)
	r.ReplaceConfiguration(routes, 2)
	r.Sleep(4 * time.Second)
}

// raceConfigurations sends two versions concurrently, to two addresses. The version
// between the two stays free for a configuration that is sent late.
func (r *Run) raceConfigurations(routes []platformstandin.Route) {
	statuses := make(chan int, 2)
	for index, version := range []uint64{r.version + 1, r.version + versionStep} {
		r.group.Go(func() { statuses <- r.Operator.Replace(version, routes, index) })
	}
	for range 2 {
		timeout := time.NewTimer(20 * time.Second)
		status, answered := worker.Receive(statuses, timeout.C)
		timeout.Stop()
		if !answered || status != http.StatusOK {
			r.Errorf("one of two concurrent versions was answered with status %d", status)
		}
	}
	r.version += versionStep
}

// sendInvalidConfigurations sends configurations that must be rejected.
func (r *Run) sendInvalidConfigurations(routes []platformstandin.Route) {
	version := r.version + 9
	bodyWithRoute := func(route platformstandin.Route) string {
		return r.Operator.ConfigurationBody(version, append(slices.Clone(routes), route))
	}
	invalid := map[string]string{
		"truncated JSON":              r.Operator.ConfigurationBody(version, routes)[:100],
		"no fields":                   "{}",
		"no routes":                   `{"version":999}`,
		"an unknown service":          bodyWithRoute(platformstandin.Route{Host: "x", Kind: "primary", Service: "nowhere", Timeout: time.Second}),
		"a duplicate host":            bodyWithRoute(routes[0]),
		"no timeout":                  bodyWithRoute(platformstandin.Route{Host: "x", Kind: "primary", Service: "db1"}),
		"a version of the wrong type": `{"version":"9","routes":[],"services":[],"limits":{}}`,
	}
	for defect, body := range invalid {
		if status := r.Operator.ReplaceInvalid(version, body, 0); status/100 != 4 {
			r.Errorf("a configuration with %s was answered with status %d, want a rejection", defect, status)
		}
	}
}
