// Program simulate runs the simulator with many seeds and prints the seeds that
// violate a rule. With -replay, it runs one seed and prints its whole history.
// With other flags, it measures admission control or the failover of the control
// primary, or prints digests of histories to compare two builds.
//
// It exits with status 1 if a rule was violated, and with status 2 if a flag is
// invalid.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"tansyseam/test/simulation"
)

const (
	exitViolation = 1
	exitUsage     = 2
)

// modeLines is the value of -manner that simulates fleets of line sessions.
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
	flag.StringVar(&o.shape, "shape", "magnolia", "size of the fleet: magnolia (small) or chile (large)")
	flag.Uint64Var(&o.replay, "replay", 0, "run only this seed and print its history; 0 runs the seeds of -from and -count")
	flag.StringVar(&o.mode, "manner", "json", "json for instances that push their positions, lines for line sessions to instances that replicate synchronously")
	flag.IntVar(&o.jobs, "jobs", runtime.NumCPU(), "number of seeds to run concurrently")
	flag.BoolVar(&o.printPhases, "fault-phases", false, "print how often each fault began in each phase of the fleet")
	flag.BoolVar(&o.printPhases, "met", false, "earlier name of -fault-phases")
	flag.BoolVar(&o.admission, "admission", false, "run the admission experiments and print a table of their results")
	flag.BoolVar(&o.digests, "digests", false, "print the digest of each seed's history, to compare two builds")
	flag.BoolVar(&o.failover, "control-failover", false, "measure the failover of the control primary for each kind of loss, with each seed, and print a table of the times")
	flag.BoolVar(&o.failover, "takeover", false, "earlier name of -control-failover")
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
	config, found := map[string]simulation.Config{"magnolia": simulation.SmallConfig(), "chile": simulation.LargeConfig()}[o.shape]
	if !found {
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
	config, found := map[string]simulation.LineConfig{"magnolia": simulation.SmallLineConfig(), "chile": simulation.LargeLineConfig()}[o.shape]
	if !found {
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
	fmt.Fprintln(os.Stderr, "-shape must be magnolia or chile")
	return exitUsage
}

func printLine(format string, arguments ...any) { fmt.Printf(format+"\n", arguments...) }

func exitCode(violations int) int {
	if violations > 0 {
		return exitViolation
	}
	return 0
}
