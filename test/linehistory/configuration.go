package linehistory

import (
	"slices"
	"time"
)

// WrongConfiguration finds statements that were handled in a way that only an
// outdated configuration allows, and invalid configurations that were
// acknowledged. It also finds a configuration fetched at the end of the run that is
// older than the newest acknowledged one.
func WrongConfiguration(h History) []string {
	var found violations
	h.checkAcknowledged(&found)
	h.checkFetched(&found)
	services := h.servicesByID()
	for _, query := range h.Queries {
		service, executed := services[query.ID]
		h.checkRouting(query, service, executed, &found)
	}
	return found
}

func (h History) checkAcknowledged(found *violations) {
	for _, version := range h.Versions {
		if version.Invalid && version.acknowledged() {
			found.add("version %d is invalid, but was acknowledged", version.Number)
		}
	}
}

func (h History) checkFetched(found *violations) {
	if h.Fetched == "" {
		return
	}
	newest := uint64(0)
	for _, version := range h.Versions {
		if !version.Invalid && version.acknowledged() {
			newest = max(newest, version.Number)
		}
	}
	matches := slices.ContainsFunc(h.Versions, func(version Version) bool {
		return !version.Invalid && version.Number >= newest && version.Body == h.Fetched
	})
	if !matches {
		found.add("the fetched configuration is %q, the newest acknowledged version is %d", h.Fetched, newest)
	}
}

// oldestAllowed returns the number of the oldest version under which a query that
// was sent at the given time may be handled.
func (h History) oldestAllowed(sent time.Duration) uint64 {
	oldest := uint64(0)
	for _, version := range h.Versions {
		if !version.Invalid && version.acknowledged() && version.AcknowledgedAt+h.Bounds.Apply < sent {
			oldest = max(oldest, version.Number)
		}
	}
	return oldest
}

// checkRouting checks a query against all versions under which it may have been
// handled. service is the service that executed the query, if executed is true.
func (h History) checkRouting(query Query, service string, executed bool, found *violations) {
	oldest := h.oldestAllowed(query.Sent)
	candidates, withRoute, toService := 0, 0, 0
	for _, version := range h.Versions {
		if version.Invalid || version.Number < oldest || version.Sent > query.Answered {
			continue
		}
		candidates++
		routedTo, routed := version.Hosts[query.Host]
		if routed {
			withRoute++
		}
		if routed && routedTo == service {
			toService++
		}
	}
	if executed && query.Transaction == "" && toService == 0 {
		found.add("%s of %s ran at %s, which no version from %d on allows", query.ID, query.Host, service, oldest)
	}
	if query.Code == codeNoDatabase && candidates > 0 && withRoute == candidates {
		found.add("%s of %s was refused, though every version from %d on has its route", query.ID, query.Host, oldest)
	}
}
