// Program scale measures what each role of a fleet costs as it grows, and
// prints tables for docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio/logging"

	"tansyseam.example/pooler/cmd/start"
	"tansyseam.example/proof/scale"
)

func main() { os.Exit(measure()) }

const defaultSizes = "30x10,100x10,300x10,600x10,30x40,30x100," +
	"30x10@lines,100x10@lines,300x10@lines,600x10@lines,930x10@lines,30x40@lines,30x100@lines,30x300@lines,100x100@lines,930x1900@lines"

func measure() int {
	sizes := flag.String("sizes", defaultSizes, "fleets, as NODESxDATABASES/HOMES/KNOWN, with @lines behind for synced instances and manifests, with commas between; none for none")
	most := flag.Int("most", 100000, "largest size at which a machine is measured alone; 0 for none")
	disks := flag.Int("disks", 3, "control machines of a fleet")
	cores := flag.Int("cores", 2, "cores of the hollow nodes")
	each := flag.Int("each", 1, "cores of each real process")
	steady := flag.Duration("steady", 5*time.Second, "how long a fleet is measured at rest")
	patience := flag.Duration("patience", 30*time.Second, "bound of each wait")
	root := flag.String("root", ".", "the workspace")
	keep := flag.String("folder", "", "folder to leave logs and data in; by default a temporary one that is removed")
	flag.Parse()
	logging.SetLogger(start.Silent{})
	runtime.GOMAXPROCS(max(*cores, 1))
	if err := os.Setenv("GOMAXPROCS", strconv.Itoa(max(*each, 1))); err != nil {
		return fail(err)
	}
	fmt.Printf("# Tables of the scale run\n\nPrinted by `go run ./proof/cmd/scale`, sizes `%s`; %d cores for all hollow nodes, %d for each real process, a machine of %d; load of all work on it at the start %s.\n\n", *sizes, *cores, *each, runtime.NumCPU(), scale.Busy())
	if *most > 0 {
		if err := machines(*most); err != nil {
			return fail(err)
		}
	}
	list, err := read(*sizes)
	if err != nil {
		return fail(err)
	}
	if len(list) == 0 {
		return 0
	}
	folder := *keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "seam-scale"); err != nil {
			return fail(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	bin := filepath.Join(folder, "bin")
	if err := scale.Build(*root, bin); err != nil {
		return fail(err)
	}
	var results []scale.Result
	for at, size := range list {
		size.Disks, size.Steady, size.Patience = *disks, *steady, *patience
		place := filepath.Join(folder, fmt.Sprintf("%d-%d", os.Getpid(), at))
		if err := os.MkdirAll(place, 0o755); err != nil {
			return fail(err)
		}
		result := scale.Run(size, bin, place)
		fmt.Fprintln(os.Stderr, size.String()+":", "settled", result.IsSettled, result.Settled.Round(time.Millisecond), result.Fault)
		results = append(results, result)
	}
	fmt.Printf("\n## Whole fleets at rest\n\n")
	scale.PrintRoles(os.Stdout, results)
	fmt.Printf("\n## Slopes between them\n\n")
	scale.PrintSlopes(os.Stdout, results)
	fmt.Printf("\n## What was done to them\n\n")
	scale.PrintEvents(os.Stdout, results)
	fmt.Printf("\n## What else was seen\n\n")
	scale.PrintNotes(os.Stdout, results)
	fmt.Printf("\nLoad of all work on the machine at the end: %s.\n", scale.Busy())
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}

func machines(most int) error {
	var figures []scale.Figure
	for _, slope := range scale.Slopes() {
		taken, err := slope.Take(most)
		if err != nil {
			return err
		}
		figures = append(figures, taken...)
	}
	fmt.Printf("## Machines alone\n\n")
	scale.PrintFigures(os.Stdout, figures)
	fmt.Printf("\n## Worked out for 930 nodes and 1,900 databases\n\n")
	scale.PrintLoads(os.Stdout, figures)
	return nil
}

func read(text string) ([]scale.Size, error) {
	var list []scale.Size
	for _, one := range strings.Split(text, ",") {
		if one == "" || one == "none" {
			continue
		}
		size := scale.Size{}
		one, size.IsLined = strings.CutSuffix(one, "@lines")
		counts := strings.Split(strings.Replace(one, "x", "/", 1), "/")
		for at, into := range []*int{&size.Nodes, &size.Databases, &size.Homes, &size.Known} {
			if at >= len(counts) || (at > 1 && counts[at] == "") {
				continue
			}
			number, err := strconv.Atoi(counts[at])
			if err != nil {
				return nil, fmt.Errorf("%q: %w", one, err)
			}
			*into = number
		}
		if size.Nodes < 3 || size.Databases < 2 {
			return nil, fmt.Errorf("%q: needs three nodes and two databases at least", one)
		}
		list = append(list, size)
	}
	return list, nil
}
