package model

import "fmt"

// Prefixes of the keys of the control state.
const (
	// PrefixBindingSet: a BindingSet by sequence, see BindingSetKey.
	PrefixBindingSet = "set/"
	// PrefixWriterRole: a WriterRole by database.
	PrefixWriterRole = "db/"
	// PrefixScheduledChange: a ScheduledChange by id.
	PrefixScheduledChange = "book/"
	// PrefixCallResult: the result of an operator's call, by the call's id.
	PrefixCallResult = "call/"
	// PrefixNode: when a node that may hold a lease was registered, by name.
	PrefixNode = "node/"
	// PrefixAuditEntry: an AuditEntry by sequence.
	PrefixAuditEntry = "entry/"
	// PrefixManifestVersions: the digests of accepted manifests by version, many to a
	// record.
	PrefixManifestVersions = "versions/"
	// PrefixManifest: the text of a manifest as it was sent, by the sequence of the set
	// that it became.
	PrefixManifest = "raw/"
)

// BindingSetKey is the key of a binding set. Keys sort by sequence.
func BindingSetKey(sequence uint64) string { return fmt.Sprintf("%s%012d", PrefixBindingSet, sequence) }
