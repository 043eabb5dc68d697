// Package link carries messages between the system's own processes over TCP. Messages are framed
// and encoded with msgpack; gnet event loops send and receive them.
//
// Both ends first prove that they hold a shared key. While a request is in flight on a link, the
// link sends a heartbeat whenever it has received nothing for a while. A link whose peer sends nothing
// for too long is closed even if its TCP connection is established, because a device between the ends
// may have dropped the connection's state without a reset. The link's user then dials again and
// resumes its requests.
package link
