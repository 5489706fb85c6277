package consensus

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"tansyseam/internal/state/store"
)

// Record names the primary and the backup of an epoch, and the voters on the epoch
// after it. Records compare with ==.
type Record struct {
	Epoch   uint64
	Primary string
	// Backup is empty in an epoch without one.
	Backup string
	Voters Voters
}

// decodeRecord reads the value of a proposal. The error is store.ErrDecode.
func decodeRecord(data []byte) (Record, error) {
	var record Record
	err := store.DecodePlain(data, &record)
	return record, err
}

// Member is a voter: a node, and which of its disks it votes with. A node that lost its
// disk comes back with another incarnation, and so as no member.
type Member struct {
	Name        string
	Incarnation uint64
}

// Voters is a set of members in a canonical text form, so that it compares with
// ==: each as name, a tab and incarnation, in order of names, joined by newlines. It is
// stored and sent in that form.
type Voters string

const (
	memberSeparator      = "\n"
	incarnationSeparator = "\t"
)

// NewVoters makes the set of some members.
func NewVoters(members ...Member) Voters {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	var lines []string
	for _, member := range sorted {
		lines = append(lines, member.Name+incarnationSeparator+strconv.FormatUint(member.Incarnation, 10))
	}
	return Voters(strings.Join(lines, memberSeparator))
}

// votersWithoutIncarnation makes the set of a cluster that was formed by a build
// without incarnations.
func votersWithoutIncarnation(names []string) Voters {
	var members []Member
	for _, name := range names {
		members = append(members, Member{Name: name})
	}
	return NewVoters(members...)
}

// Members lists the set in order of names.
func (v Voters) Members() []Member {
	if v == "" {
		return nil
	}
	var members []Member
	for _, line := range strings.Split(string(v), memberSeparator) {
		name, digits, _ := strings.Cut(line, incarnationSeparator)
		incarnation, _ := strconv.ParseUint(digits, 10, 64)
		members = append(members, Member{Name: name, Incarnation: incarnation})
	}
	return members
}

// Names lists the nodes of the set in order.
func (v Voters) Names() []string {
	var names []string
	for _, member := range v.Members() {
		names = append(names, member.Name)
	}
	return names
}

// Has says whether a member is in the set.
func (v Voters) Has(member Member) bool { return slices.Contains(v.Members(), member) }

// Find gives the member with a name.
func (v Voters) Find(name string) (Member, bool) {
	for _, member := range v.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Replace gives the set with one member in another's place.
func (v Voters) Replace(old, next Member) Voters {
	members := slices.DeleteFunc(v.Members(), func(member Member) bool { return member == old })
	return NewVoters(append(members, next)...)
}
