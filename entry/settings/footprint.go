package settings

import (
	"math"

	"acaciacleat.example/core/footprint"
	"golang.org/x/sys/unix"
)

const (
	// clientMemoryShare is the fraction of a process's memory that its clients may hold.
	clientMemoryShare = 0.3
	// operatorMemoryShare is the fraction that operators may hold.
	operatorMemoryShare = 0.1
	// defaultClientBytes is what clients may hold where the memory is not known.
	defaultClientBytes = 512 << 20
	// defaultOperatorBytes is what operators may hold where the memory is not known, enough for the largest document, and
	// operatorConns the number of their connections.
	defaultOperatorBytes = 192 << 20
	operatorConns        = 192
	// otherDescriptors are those for files, listeners and the platform. Each client's request may need
	// a connection to an upstream.
	otherDescriptors         = 200
	descriptorsOfAConnection = 2
)

// clientFootprint returns the bounds on what clients hold in a process with this memory, in MiB, and this number of
// descriptors. Zero means that there is no bound on the memory, or that the process's own one on descriptors holds.
func clientFootprint(memoryMb float64, mostBytes int64, descriptors int) footprint.Limits {
	limits := footprint.Limits{Bytes: mostBytes}
	if memoryMb > 0 {
		limits.Bytes = min(limits.Bytes, int64(memoryMb*clientMemoryShare*(1<<20)))
	}
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	limits.Conns = max((descriptors-otherDescriptors)/descriptorsOfAConnection, 1)
	return limits
}

// operatorFootprint returns the bounds on what operators hold in a process with this memory, in MiB; zero means that there
// is no bound.
func operatorFootprint(memoryMb float64) footprint.Limits {
	limits := footprint.Limits{Bytes: defaultOperatorBytes, Conns: operatorConns}
	if memoryMb > 0 {
		limits.Bytes = min(limits.Bytes, int64(memoryMb*operatorMemoryShare*(1<<20)))
	}
	return limits
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // The usual limit.
	}
	return int(min(limit.Cur, math.MaxInt32))
}
