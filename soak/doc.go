// Package soak runs gateways as processes of their own before stand-ins of the users'
// platform, disrupts them from outside by a plan drawn from a seed, and checks from the
// callers' and the upstreams' side what must hold whatever happens.
//
// The package starts processes, which no part of the served product does: it is a tool for
// its developers and operators.
package soak
