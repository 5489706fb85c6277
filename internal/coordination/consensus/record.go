package consensus

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"tansyseam/internal/state/store"
)

// Record names the primary and the backup of an epoch, and the voters that decide the
// record of the next epoch.
type Record struct {
	Epoch   uint64
	Primary string
	// Backup is empty in an epoch without a backup.
	Backup string
	Voters Voters
	// Fallback is, in an epoch without a backup in which no writes are made, the voter
	// besides the primary whose replica has all writes that were acknowledged or served.
	// It may become primary. It is the zero value if there is no such voter, and in
	// records that a build without this field has passed on.
	Fallback Member
}

// IsSame reports whether two records are the decision of the same epoch. It ignores
// Fallback, which builds without this field leave out.
func (r Record) IsSame(other Record) bool {
	r.Fallback, other.Fallback = Member{}, Member{}
	return r == other
}

// hasFallback reports whether the record has a fallback that is still a voter.
func (r Record) hasFallback() bool { return r.Fallback.Name != "" && r.Voters.Has(r.Fallback) }

// IsSuccessor reports whether the named node may become primary without a comparison of
// replicas, because it has all writes that were acknowledged or served in this epoch or
// before. It is the backup or the fallback.
func (r Record) IsSuccessor(name string) bool {
	return name != "" && (name == r.Backup || (r.hasFallback() && name == r.Fallback.Name))
}

// HasRole reports whether the named node is the primary or one of its successors.
func (r Record) HasRole(name string) bool { return name == r.Primary || r.IsSuccessor(name) }

// otherHolder returns the voter besides the named one that has all writes that were
// acknowledged or served. It returns the zero value if there is none, or if the named
// node itself is neither the primary nor a successor.
func (r Record) otherHolder(name string) Member {
	successor := r.Fallback
	if r.Backup != "" {
		successor, _ = r.Voters.Find(r.Backup)
	}
	if name == r.Primary {
		return successor
	}
	if name != successor.Name {
		return Member{}
	}
	primary, _ := r.Voters.Find(r.Primary)
	return primary
}

// decodeRecord decodes the value of a proposal. The error is store.ErrDecode.
func decodeRecord(data []byte) (Record, error) {
	var record Record
	err := store.DecodePlain(data, &record)
	return record, err
}

// Member is a voter, identified by a node and the incarnation of the disk that it votes
// with. A node that lost its disk returns with another incarnation, and is then not a
// member.
type Member struct {
	Name        string
	Incarnation uint64
}

// Voters is a set of members in a canonical text form, so that sets can be compared
// with ==. Each member is written as its name, a tab and its incarnation. The members
// are sorted by name and joined by newlines. The set is stored and sent in this form.
type Voters string

const (
	memberSeparator      = "\n"
	incarnationSeparator = "\t"
)

// NewVoters returns the set of the given members.
func NewVoters(members ...Member) Voters {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	var lines []string
	for _, member := range sorted {
		lines = append(lines, member.Name+incarnationSeparator+strconv.FormatUint(member.Incarnation, 10))
	}
	return Voters(strings.Join(lines, memberSeparator))
}

// votersWithoutIncarnation returns the voters of a cluster that was formed by a build
// without incarnations.
func votersWithoutIncarnation(names []string) Voters {
	var members []Member
	for _, name := range names {
		members = append(members, Member{Name: name})
	}
	return NewVoters(members...)
}

// Members returns the members of the set, sorted by name.
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

// Names returns the names of the nodes in the set, sorted.
func (v Voters) Names() []string {
	var names []string
	for _, member := range v.Members() {
		names = append(names, member.Name)
	}
	return names
}

// Has reports whether a member is in the set.
func (v Voters) Has(member Member) bool { return slices.Contains(v.Members(), member) }

// Find returns the member with the given name, and reports whether there is one.
func (v Voters) Find(name string) (Member, bool) {
	for _, member := range v.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Replace returns the set with the member old replaced by next.
func (v Voters) Replace(old, next Member) Voters {
	members := slices.DeleteFunc(v.Members(), func(member Member) bool { return member == old })
	return NewVoters(append(members, next)...)
}
