// Package soak runs gateway processes against stand-ins of the users' platform, injects faults from
// outside according to a plan generated from a seed, and checks the guarantees that must hold under any
// fault, as callers and upstreams observe them.
//
// Unlike the served product, the package starts processes: it is a tool for developers and
// operators.
package soak
