package routes

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// digestBytes is the length of the part of a key's hash by which logs name the key.
const digestBytes = 8

// KeyDigest returns the name of a key in logs, in hexadecimal digits. The key can't be found from it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:digestBytes])
}

// Changes are the differences between two tables, in ascending order.
type Changes struct {
	// RoutesAdded and RoutesRemoved are hosts with prefixes; those of routes that require no key end with anonymousMark.
	RoutesAdded, RoutesRemoved []string
	// KeysAdded and KeysRemoved are digests of keys. A key that another organisation holds now is in neither.
	KeysAdded, KeysRemoved []string
}

// anonymousMark marks the routes that require no key. No prefix has a blank.
const anonymousMark = " anonymous"

// ChangesSince returns the differences from another table, which may be nil, to this one.
func (t *Table) ChangesSince(before *Table) Changes {
	if before == nil {
		before = &Table{}
	}
	old, now := before.patterns(), t.patterns()
	return Changes{
		RoutesAdded: missing(old, now), RoutesRemoved: missing(now, old),
		KeysAdded: digests(missing(before.keys, t.keys)), KeysRemoved: digests(missing(t.keys, before.keys)),
	}
}

// RemovesRoute reports whether a route, or what it demanded of its callers, was changed.
func (c *Changes) RemovesRoute(r *Route) bool { return contains(c.RoutesRemoved, r.pattern()) }

// AddsRoute reports whether a route was added or what it demands of its callers was changed.
func (c *Changes) AddsRoute(r *Route) bool { return contains(c.RoutesAdded, r.pattern()) }

// RemovesKey reports whether a key was taken away.
func (c *Changes) RemovesKey(key string) bool { return contains(c.KeysRemoved, KeyDigest(key)) }

func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// pattern returns what the route matches.
func (r *Route) pattern() string {
	pattern := hostOnly(r.Host) + r.Prefix
	if r.Anonymous {
		pattern += anonymousMark
	}
	return pattern
}

// patterns returns what the routes match.
func (t *Table) patterns() map[string]struct{} {
	patterns := make(map[string]struct{})
	for _, all := range t.hosts {
		for _, route := range all {
			patterns[route.pattern()] = struct{}{}
		}
	}
	return patterns
}

// missing returns the names in a set that another one lacks, in ascending order.
func missing[V, W any](from map[string]V, set map[string]W) (names []string) {
	for name := range set {
		if _, ok := from[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// digests returns the digests of keys in ascending order.
func digests(keys []string) []string {
	for i, key := range keys {
		keys[i] = KeyDigest(key)
	}
	slices.Sort(keys)
	return keys
}

// Superseded is the table that was in force before another one.
type Superseded struct {
	Table *Table
	// By is the version that has taken its place, Changes what that version changed.
	By      uint64
	Changes Changes
}
