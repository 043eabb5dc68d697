// Package link carries messages between the system's own processes over TCP: framed,
// encoded with msgpack, driven by gnet event loops.
//
// Both ends first prove that they hold a shared key. While a request is in flight on a
// link its ends send heartbeats; a link whose peer sends nothing for too long counts as
// lost whatever TCP says, because a device between the ends may have dropped its state
// without telling either. The owner then dials anew and resumes.
package link
