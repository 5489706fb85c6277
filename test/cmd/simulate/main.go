// Program simulate runs the simulator over many seeds and prints those that
// break a rule. With -replay it plays one seed and prints its whole history.
// Further modes measure admission control and the failover of the control
// primary, and print digests of histories, by which two builds are compared.
//
// It exits with 1 where a rule was broken, and with 2 on wrong options.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"tansyseam/test/simulation"
)

const (
	exitBroken = 1
	exitUsage  = 2
)

// modeLines is the mode that simulates line sessions.
const modeLines = "lines"

// options are the command's flags.
type options struct {
	from, count, replay uint64
	shape, mode         string
	jobs                int
	printPhases         bool
	admission           bool
	digests             bool
	failover            bool
}

func parseOptions() options {
	var o options
	flag.Uint64Var(&o.from, "from", 1, "first seed")
	flag.Uint64Var(&o.count, "count", 100, "number of seeds")
	flag.StringVar(&o.shape, "shape", "magnolia", "magnolia or chile")
	flag.Uint64Var(&o.replay, "replay", 0, "replay this one seed, with its history")
	flag.StringVar(&o.mode, "manner", "json", "json for back ends that push positions, lines for synced instances")
	flag.IntVar(&o.jobs, "jobs", runtime.NumCPU(), "seeds played at once")
	flag.BoolVar(&o.printPhases, "met", false, "print how often each fault met each phase")
	flag.BoolVar(&o.admission, "admission", false, "play the admission experiments and print their table")
	flag.BoolVar(&o.digests, "digests", false, "print the digest of each seed's history, by which two builds are compared")
	flag.BoolVar(&o.failover, "takeover", false, "lose control's primary in each way, over the seeds, and print how long it takes")
	flag.Parse()
	return o
}

func main() { os.Exit(run(parseOptions())) }

func run(o options) int {
	if o.digests {
		return printDigests(o)
	}
	if o.admission {
		printAdmission(o.from)
		return 0
	}
	if o.mode == modeLines {
		return runLineFleets(o)
	}
	return runFleets(o)
}

func runFleets(o options) int {
	config, known := map[string]simulation.Config{"magnolia": simulation.SmallConfig(), "chile": simulation.LargeConfig()}[o.shape]
	if !known {
		return reportUnknownShape()
	}
	if o.failover {
		return printControlFailover(o.from, o.count, config, o.jobs)
	}
	if o.replay != 0 {
		result := simulation.Run(o.replay, config, simulation.Defects{}, printLine)
		printResult(result)
		return exitCode(len(result.Violations))
	}
	return summarize(o, config)
}

func runLineFleets(o options) int {
	config, known := map[string]simulation.LineConfig{"magnolia": simulation.SmallLineConfig(), "chile": simulation.LargeLineConfig()}[o.shape]
	if !known {
		return reportUnknownShape()
	}
	if o.replay != 0 {
		result := simulation.RunLines(o.replay, config, simulation.LineDefects{}, printLine)
		printLineResult(result)
		return exitCode(len(result.Violations))
	}
	return summarizeLines(o, config)
}

func reportUnknownShape() int {
	fmt.Fprintln(os.Stderr, "no such shape")
	return exitUsage
}

func printLine(format string, parts ...any) { fmt.Printf(format+"\n", parts...) }

func exitCode(broken int) int {
	if broken > 0 {
		return exitBroken
	}
	return 0
}
