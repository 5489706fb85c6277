package model

import "fmt"

// Prefixes of keys in the control state. Each comment names the values under the prefix
// and the rest of the key.
const (
	// PrefixBindingSet: a BindingSet by sequence (see BindingSetKey).
	PrefixBindingSet = "set/"
	// PrefixWriterRole: a WriterRole by database.
	PrefixWriterRole = "db/"
	// PrefixScheduledChange: a ScheduledChange by id.
	PrefixScheduledChange = "book/"
	// PrefixCallResult: the result of an operator's call, by the call's id.
	PrefixCallResult = "call/"
	// PrefixNode: the registration time of a node that may hold a lease, by name.
	PrefixNode = "node/"
	// PrefixAuditEntry: an AuditEntry by sequence.
	PrefixAuditEntry = "entry/"
	// PrefixManifestVersions: lists of accepted manifest versions with the digests of the
	// manifests, by record number. One record holds many versions.
	PrefixManifestVersions = "versions/"
	// PrefixManifest: the original text of a manifest, by the sequence of the binding set
	// created from it.
	PrefixManifest = "raw/"
	// PrefixDeparture: a Departure by the name of the instance.
	PrefixDeparture = "departure/"
)

// BindingSetKey returns the key of a binding set. The keys sort by sequence.
func BindingSetKey(sequence uint64) string { return fmt.Sprintf("%s%012d", PrefixBindingSet, sequence) }
