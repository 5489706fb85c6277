package scale

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tansyseam.example/pooler/coordination/member"
)

// The size that is expected within two years, and the bounds of a node.
const (
	fullNodes      = 930
	fullDatabases  = 1900
	fullInstances  = fullDatabases * Copies
	fullSessions   = 6237
	fullStatements = 1054.0
	changesASecond = 5200.0 / 86400
	writesOfChange = 3
	seedEvery      = 8.0
	asksASecond    = 2.0
	beatsASecond   = 40.0
	looksASecond   = 10.0
	boundCore      = 0.011
	boundBytes     = 5000.0
)

type figures struct {
	held   map[string]Figure
	missed []string
}

func figuresOf(taken []Figure) *figures {
	f := &figures{held: map[string]Figure{}}
	for _, one := range taken {
		f.held[fmt.Sprint(one.Name, ", ", one.Size)] = one
	}
	return f
}

func (f *figures) at(name string, size int) Figure {
	one, isTaken := f.held[fmt.Sprint(name, ", ", size)]
	if !isTaken {
		f.missed = append(f.missed, fmt.Sprint(name, ", ", size))
	}
	return one
}

// load is what one kind of work costs a role at the full size. Out and In are
// bytes a second, Core is a part of one core, Memory is in bytes.
type load struct {
	role, what    string
	sent, heard   float64
	out, in, core float64
	memory        float64
	isBound       bool
}

func seconds(each time.Duration, times float64) float64 { return each.Seconds() * times }

// half is one end of a link.
func half(one Figure, times float64) float64 { return seconds(one.Link, times) / 2 }

func loads(f *figures) []load {
	beats := float64(time.Second) / float64(member.DefaultTiming().Beat)
	beat, heard := f.at("gossip: one beat at rest", fullNodes), f.at("gossip: one message taken at rest", fullNodes)
	own := beats * (member.Watchers + 3/seedEvery)
	seed := fullNodes * beats / seedEvery
	ask, reply := f.at("lines: ask built, with its reports", fullDatabases), f.at("lines: ask taken and answered, nothing new", fullDatabases)
	leased := f.at("ask: taken while all nodes are leased", fullNodes)
	whole, roll := f.at("lines: manifest carried with the whole state", fullDatabases), f.at("lines: roll of all instances carried", fullInstances)
	write, takeover := f.at("write: table cloned, written out, read again", fullDatabases), f.at("lines: takeover case of one database", fullNodes)
	news := changesASecond * writesOfChange
	asks := fullNodes * asksASecond
	return []load{
		{
			role: "node", what: "gossip", sent: own + beats*member.Watchers, heard: own + beats*member.Watchers,
			out: (own + beats*member.Watchers) * float64(beat.Bytes), in: (own + beats*member.Watchers) * float64(heard.Bytes), isBound: true,
			core:   seconds(beat.Processor, beats) + seconds(heard.Processor, own) + half(beat, 2*(own+beats*member.Watchers)),
			memory: float64(f.at("gossip: nodes known", fullNodes).Bytes),
		},
		{
			role: "seed", what: "gossip of all nodes besides", sent: seed, heard: seed, out: seed * float64(heard.Bytes), in: seed * float64(beat.Bytes), isBound: true,
			core: seconds(heard.Processor, seed) + half(beat, 2*seed),
		},
		{
			role: "node", what: "asks with reports of all primaries", sent: asksASecond, heard: asksASecond, out: asksASecond * float64(ask.Bytes),
			in: asksASecond * float64(reply.Bytes), core: seconds(ask.Processor, asksASecond) + half(ask, asksASecond) + half(reply, asksASecond), isBound: true,
			memory: float64(f.at("lines: instances known", fullInstances).Bytes),
		},
		{
			role: "node", what: "changes, the whole state with each write", heard: news, in: news * float64(whole.Bytes), core: half(whole, news), isBound: true,
		},
		{
			role: "node", what: "the roll of instances, where one turns each minute", heard: 1. / 60, in: float64(roll.Bytes) / 60, core: half(roll, 1./60), isBound: true,
		},
		{
			role: "node", what: "its own beat, idle", core: seconds(f.at("lines: beat of an idle node", fullInstances).Processor, beatsASecond), isBound: true,
		},
		{
			role: "node", what: "sessions and statements, without sockets (not control)", core: seconds(f.at("lines: statement among so many instances", fullInstances).Processor, fullStatements),
			memory: fullSessions * float64(f.at("lines: session held", 6000).Bytes) / 6000,
		},
		{
			role: "control primary", what: "asks of all nodes", sent: asks, heard: asks, out: asks * float64(reply.Bytes), in: asks * float64(ask.Bytes),
			core: seconds(reply.Processor, asks) + seconds(leased.Processor, asks) + half(ask, asks) + half(reply, asks),
		},
		{
			role: "control primary", what: "changes carried to all nodes", sent: news * fullNodes, out: news * fullNodes * float64(whole.Bytes),
			core: seconds(whole.Processor, news*fullNodes) + half(whole, news*fullNodes),
		},
		{
			role: "holder of the duty", what: "a takeover's case of each database, ten times a second", core: seconds(takeover.Processor, fullDatabases*looksASecond),
		},
		{
			role: "control primary, backup", what: "the state file, three writes a change", sent: news, out: news * float64(write.Bytes), core: seconds(write.Processor, news), memory: float64(write.Bytes),
		},
	}
}

// PrintLoads writes what each role would pay at the full size, worked out from
// figures that were taken at it; a bold one is over the bound of a node.
func PrintLoads(to io.Writer, taken []Figure) {
	f := figuresOf(taken)
	list := loads(f)
	if len(f.missed) > 0 {
		fmt.Fprintln(to, "Not worked out, as not measured:", strings.Join(f.missed, "; "))
		return
	}
	fmt.Fprintln(to, "| role | work | messages a s, out and in | bytes a s, out and in | core | memory |")
	fmt.Fprintln(to, "|---|---|---|---|---|---|")
	for _, one := range list {
		fmt.Fprintf(to, "| %s | %s | %s | %s | %s | %s |\n", one.role, one.what, none(fmt.Sprintf("%.1f, %.1f", one.sent, one.heard), one.sent+one.heard > 0),
			none(strong(bytesText(one.out)+", "+bytesText(one.in), one.isBound && max(one.out, one.in) > boundBytes), one.out+one.in > 0),
			none(strong(coreText(one.core), one.isBound && one.core > boundCore), one.core > 0), none(bytesText(one.memory), one.memory > 0))
	}
}

func strong(text string, isOver bool) string {
	if isOver {
		return "**" + text + "**"
	}
	return text
}

func coreText(part float64) string {
	if part >= 1 {
		return fmt.Sprintf("%.1f cores", part)
	}
	return fmt.Sprintf("%.2f %%", part*100)
}
