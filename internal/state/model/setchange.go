package model

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// HeldSet identifies a binding set that a node holds. Digest is the set's ContentDigest.
type HeldSet struct {
	Sequence uint64
	Digest   uint64
}

// SetChange is a binding set as its difference from another set, which the receiver has.
// It is sent instead of the complete set, so that the size of an update follows the size
// of a change.
type SetChange struct {
	// Set is the set without its bindings and, if SameDatabases is true, without its
	// databases.
	Set BindingSet
	// BaseSequence is the sequence of the other set, which may be that of Set itself if
	// only the effective time was changed.
	BaseSequence uint64
	// Changed holds the bindings that differ from those of the same names in the other
	// set, and after them the bindings that the other set does not have. Removed holds
	// the names of the bindings that only the other set has.
	Changed []Binding
	Removed []string
	// Order is empty if the set has the bindings in that order. Otherwise the set consists
	// of these ranges of that list.
	Order []Range
	// SameDatabases is true if both sets have the same databases.
	SameDatabases bool
}

// Range is a range of a list: Count elements from index Start on.
type Range struct {
	Start int
	Count int
}

// ContentDigest returns a digest of the bindings and databases of a set.
func (s BindingSet) ContentDigest() uint64 {
	content := binary.AppendUvarint(nil, uint64(len(s.Bindings)))
	for _, binding := range s.Bindings {
		content = appendText(content, binding.Name)
		content = appendText(content, binding.Database)
		content = binary.AppendVarint(content, int64(binding.Freshness))
		content = binary.AppendVarint(content, int64(binding.Timeout))
		content = binary.AppendVarint(content, int64(binding.LatencyTarget))
		content = binary.AppendVarint(content, int64(binding.Priority))
		content = binary.AppendVarint(content, int64(binding.MaxAttempts))
		content = append(content, boolByte(binding.ReadYourWrites))
	}
	for _, database := range s.Databases {
		content = appendText(content, database.Name)
		content = binary.AppendVarint(content, int64(database.MaxConnections))
		content = binary.AppendVarint(content, int64(database.MinSyncReplicas))
	}
	sum := fnv.New64a()
	_, _ = sum.Write(content)
	return sum.Sum64()
}

func appendText(content []byte, text string) []byte {
	return append(binary.AppendUvarint(content, uint64(len(text))), text...)
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// ChangeFrom returns a set as its difference from base. It returns false if the set cannot
// be restored from the difference, which is the case if names occur twice.
func (s BindingSet) ChangeFrom(base BindingSet) (SetChange, bool) {
	change := SetChange{Set: s, BaseSequence: base.Sequence, SameDatabases: slices.Equal(base.Databases, s.Databases)}
	change.Set.Bindings = nil
	if change.SameDatabases {
		change.Set.Databases = nil
	}
	before := bindingsByName(base.Bindings)
	after := bindingsByName(s.Bindings)
	var added []Binding
	for _, binding := range s.Bindings {
		previous, found := before[binding.Name]
		if !found {
			added = append(added, binding)
		} else if previous != binding {
			change.Changed = append(change.Changed, binding)
		}
	}
	change.Changed = append(change.Changed, added...)
	for _, binding := range base.Bindings {
		if _, found := after[binding.Name]; !found {
			change.Removed = append(change.Removed, binding.Name)
		}
	}
	change.Order = orderOf(change.Apply(base).Bindings, s.Bindings)
	return change, slices.Equal(change.Apply(base).Bindings, s.Bindings)
}

// orderOf returns the ranges of a list of which another list with the same names consists.
// It returns none if both have the same order.
func orderOf(list, ordered []Binding) []Range {
	positions := make(map[string]int, len(list))
	for position, binding := range list {
		positions[binding.Name] = position
	}
	var ranges []Range
	for _, binding := range ordered {
		position := positions[binding.Name]
		last := len(ranges) - 1
		if last >= 0 && ranges[last].Start+ranges[last].Count == position {
			ranges[last].Count++
			continue
		}
		ranges = append(ranges, Range{Start: position, Count: 1})
	}
	if len(ranges) == 1 && ranges[0].Start == 0 {
		return nil
	}
	return ranges
}

func bindingsByName(bindings []Binding) map[string]Binding {
	byName := make(map[string]Binding, len(bindings))
	for _, binding := range bindings {
		byName[binding.Name] = binding
	}
	return byName
}

// Apply returns the complete set. It shares the lists of base that did not change.
func (c SetChange) Apply(base BindingSet) BindingSet {
	set := c.Set
	if c.SameDatabases {
		set.Databases = base.Databases
	}
	set.Bindings = c.reorder(c.applyContent(base.Bindings))
	return set
}

// applyContent returns the bindings of the set, in the order of Changed.
func (c SetChange) applyContent(bindings []Binding) []Binding {
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return bindings
	}
	removed := make(map[string]bool, len(c.Removed))
	for _, name := range c.Removed {
		removed[name] = true
	}
	changed := bindingsByName(c.Changed)
	var result []Binding
	for _, binding := range bindings {
		if removed[binding.Name] {
			continue
		}
		if replacement, found := changed[binding.Name]; found {
			binding = replacement
			delete(changed, binding.Name)
		}
		result = append(result, binding)
	}
	for _, binding := range c.Changed {
		if _, isNew := changed[binding.Name]; isNew {
			result = append(result, binding)
		}
	}
	return result
}

// reorder returns bindings in the order of the set. Ranges outside the list are ignored.
func (c SetChange) reorder(bindings []Binding) []Binding {
	if len(c.Order) == 0 {
		return bindings
	}
	ordered := make([]Binding, 0, len(bindings))
	for _, part := range c.Order {
		start := min(max(part.Start, 0), len(bindings))
		count := min(max(part.Count, 0), len(bindings)-start)
		ordered = append(ordered, bindings[start:start+count]...)
	}
	return ordered
}
