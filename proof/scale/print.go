package scale

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func bytesText(count float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
		if count >= unit.size || count <= -unit.size {
			return fmt.Sprintf("%.1f %s", count/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%.0f B", count)
}

func spanText(span time.Duration) string {
	if span >= time.Second {
		return fmt.Sprintf("%.1f s", span.Seconds())
	}
	if span >= time.Millisecond {
		return fmt.Sprintf("%.1f ms", float64(span)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.2f us", float64(span)/float64(time.Microsecond))
}

func millis(span time.Duration) string {
	return fmt.Sprintf("%.0f", float64(span)/float64(time.Millisecond))
}

func none(text string, isGiven bool) string {
	if !isGiven {
		return "–"
	}
	return text
}

// PrintFigures writes the costs of the machines as a table; the last column
// sets each size beside the one before it.
func PrintFigures(to io.Writer, figures []Figure) {
	fmt.Fprintln(to, "| what | size | core a turn | core of both ends of the link | bytes, later | bytes, first | slope |")
	fmt.Fprintln(to, "|---|---|---|---|---|---|---|")
	var before Figure
	for _, one := range figures {
		slope := "–"
		if before.Name == one.Name {
			by := float64(one.Size - before.Size)
			slope = fmt.Sprintf("%s, %s each", spanText(time.Duration(float64(one.Processor-before.Processor)/by)), bytesText(float64(one.Bytes-before.Bytes)/by))
		}
		fmt.Fprintf(to, "| %s | %d %s | %s | %s | %s | %s | %s |\n", one.Name, one.Size, one.Of,
			none(spanText(one.Processor), one.Processor > 0), none(spanText(one.Link), one.Link > 0), none(bytesText(float64(one.Bytes)), one.Bytes > 0), none(bytesText(float64(one.First)), one.First > 0), slope)
		before = one
	}
}

func sizeText(size Size) string {
	return fmt.Sprintf("%d | %d | %s", size.Nodes, size.Databases, size.partOf())
}

// PrintRoles writes what each process used while nothing happened.
func PrintRoles(to io.Writer, results []Result) {
	fmt.Fprintln(to, "| nodes | databases | stood in | role | core | memory | in a s | out a s | messages in, out a s |")
	fmt.Fprintln(to, "|---|---|---|---|---|---|---|---|---|")
	for _, result := range results {
		for _, role := range result.Roles {
			fmt.Fprintf(to, "| %s | %s | %.1f %% | %s | %s | %s | %.0f, %.0f |\n", sizeText(result.Size), role.Name, role.Core*100,
				bytesText(role.Memory), bytesText(role.In), bytesText(role.Out), role.Heard, role.Sent)
		}
		if len(result.Roles) == 0 {
			continue
		}
		fmt.Fprintf(to, "| %s | hollow, all | %.1f %% | %s | %s | %s | %.1f asks, %.1f missed a node; %.0f announcements a door |\n", sizeText(result.Size),
			result.Hollow.Core*100, bytesText(result.Hollow.Memory), bytesText(result.Hollow.In), bytesText(result.Hollow.Out), result.Asks, result.Misses, result.Announced)
	}
}

var columns = []struct{ event, title string }{
	{EventChange, "change in force"}, {EventPrimary, "primary changed"}, {EventRestart, "restarted node back"},
	{EventHeld, "cut: other side holds"}, {EventElsewhere, "cut: change in force here"}, {EventHealed, "healed: in force there"},
	{EventLoss, "control primary lost: leased again"}, {EventStep, "next backup"},
}

// PrintEvents writes how each fleet that settled followed what was done to it:
// median and last over the nodes, in ms.
func PrintEvents(to io.Writer, results []Result) {
	fmt.Fprint(to, "| nodes | databases | stood in | settled |")
	for _, column := range columns {
		fmt.Fprintf(to, " %s |", column.title)
	}
	fmt.Fprintln(to, "\n|---|---|---|---|"+strings.Repeat("---|", len(columns)))
	for _, result := range results {
		if !result.IsSettled {
			continue
		}
		fmt.Fprintf(to, "| %s | %s |", sizeText(result.Size), millis(result.Settled))
		for _, column := range columns {
			event, isTold := result.Event(column.event)
			text := millis(event.Last)
			if event.Median > 0 {
				text = millis(event.Median) + ", " + text
			}
			fmt.Fprintf(to, " %s |", none(text, isTold))
		}
		fmt.Fprintln(to)
	}
}

// PrintNotes writes what else was seen, and what broke where and how.
func PrintNotes(to io.Writer, results []Result) {
	fmt.Fprintln(to, "| nodes | databases | stood in | what | seen |")
	fmt.Fprintln(to, "|---|---|---|---|---|")
	for _, result := range results {
		for _, event := range result.Events {
			if event.Note != "" {
				fmt.Fprintf(to, "| %s | %s | %s |\n", sizeText(result.Size), event.Name, event.Note)
			}
		}
		if result.Fault != "" {
			fmt.Fprintf(to, "| %s | **broke** | %s |\n", sizeText(result.Size), result.Fault)
		}
	}
}

type axis struct {
	name string
	of   func(Size) int
	rest func(Size) Size
}

var axes = []axis{
	{"node", func(s Size) int { return s.Nodes }, func(s Size) Size { s.Nodes = 0; return s }},
	{"database", func(s Size) int { return s.Databases }, func(s Size) Size { s.Databases = 0; return s }},
}

// PrintSlopes sets each whole fleet beside the next larger one that differs in
// one count alone.
func PrintSlopes(to io.Writer, results []Result) {
	fmt.Fprintln(to, "| role | from | to | stood in | core for each more | in a s | out a s | memory |")
	fmt.Fprintln(to, "|---|---|---|---|---|---|---|---|")
	for _, along := range axes {
		for _, small := range results {
			large, isFound := next(results, small, along)
			if !isFound {
				continue
			}
			by := float64(along.of(large.Size) - along.of(small.Size))
			for _, name := range []string{RolePrimary, RoleBackup, RoleWitness, RoleNode} {
				a, isSmall := small.Role(name)
				b, isLarge := large.Role(name)
				if !isSmall || !isLarge {
					continue
				}
				fmt.Fprintf(to, "| %s | %s | %s | %s | %.3f %% a %s | %s | %s | %s |\n", name, small.Size, large.Size, large.Size.partOf(), (b.Core-a.Core)*100/by, along.name,
					bytesText((b.In-a.In)/by), bytesText((b.Out-a.Out)/by), bytesText((b.Memory-a.Memory)/by))
			}
		}
	}
}

func next(results []Result, small Result, along axis) (Result, bool) {
	var best Result
	isFound := false
	for _, one := range results {
		isLarger := along.of(one.Size) > along.of(small.Size) && along.rest(one.Size) == along.rest(small.Size)
		if isLarger && one.IsSettled && small.IsSettled && (!isFound || along.of(one.Size) < along.of(best.Size)) {
			best, isFound = one, true
		}
	}
	return best, isFound
}
