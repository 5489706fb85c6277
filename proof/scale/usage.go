package scale

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used up to a moment.
type Usage struct {
	At time.Time
	// Processor is the time spent on processors.
	Processor time.Duration
	// Memory is resident, in bytes; Peak is the most that ever was.
	Memory, Peak int64
	// Read and Written count the bytes of all reads and writes, files and
	// links alike.
	Read, Written int64
}

// Busy tells the load of the last minute as the system counts it.
func Busy() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

const tick = 10 * time.Millisecond

// UsageOf reads what the system tells of a process.
func UsageOf(pid int) (Usage, error) {
	used := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return used, err
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	for _, at := range []int{11, 12} {
		ticks, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return used, err
		}
		used.Processor += time.Duration(ticks) * tick
	}
	status, err := linesOf(pid, "status")
	if err != nil {
		return used, err
	}
	used.Memory, used.Peak = status["VmRSS"]<<10, status["VmHWM"]<<10
	passed, err := linesOf(pid, "io")
	used.Read, used.Written = passed["rchar"], passed["wchar"]
	return used, err
}

func linesOf(pid int, name string) (map[string]int64, error) {
	return pairsOf(fmt.Sprintf("/proc/%d/%s", pid, name))
}

func pairsOf(file string) (map[string]int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	found := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		parts := strings.Fields(value)
		if len(parts) == 0 {
			continue
		}
		if number, err := strconv.ParseInt(parts[0], 10, 64); err == nil {
			found[key] = number
		}
	}
	return found, nil
}

// Rate is a process's use over a span.
type Rate struct {
	// Core is the part of one core.
	Core float64
	// Memory is in bytes, In and Out in bytes a second.
	Memory, In, Out float64
}

// RateOf gives the use between two looks.
func RateOf(before, after Usage) Rate {
	span := after.At.Sub(before.At).Seconds()
	if span <= 0 {
		return Rate{}
	}
	return Rate{
		Core: (after.Processor - before.Processor).Seconds() / span, Memory: float64(after.Memory),
		In: float64(after.Read-before.Read) / span, Out: float64(after.Written-before.Written) / span,
	}
}

func ownProcessor() time.Duration {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

var measured = 150 * time.Millisecond

func each(prepare, work func()) time.Duration {
	spent := time.Duration(0)
	for turns := 1; ; turns++ {
		prepare()
		before := ownProcessor()
		work()
		spent += ownProcessor() - before
		if spent > measured || turns >= 200000 {
			return spent / time.Duration(turns)
		}
	}
}

func many(work func()) time.Duration {
	for turns := 1; ; turns *= 4 {
		before := ownProcessor()
		for range turns {
			work()
		}
		if spent := ownProcessor() - before; spent > measured {
			return spent / time.Duration(turns)
		}
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var held runtime.MemStats
	runtime.ReadMemStats(&held)
	return int64(held.HeapAlloc)
}
