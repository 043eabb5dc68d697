package settings

import "runtime/debug"

// memoryLimitShare is the fraction of a process's memory that is set as Go's soft memory limit. The rest is for the program's
// text, for what the kernel holds for its connections, and for garbage that is not collected in time.
const memoryLimitShare = 0.6

// LimitMemory sets the garbage collector's limit in a process that may use this memory, in MiB; zero means no limit.
func LimitMemory(memoryMb float64) {
	if memoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryMb * memoryLimitShare * (1 << 20)))
	}
}
