// Package clienttest plays misbehaving clients against the product's processes, beside ordinary
// traffic. Each process is watched: one whose memory, with the bytes that its sockets have received and
// it has not read, exceeds its machine's is stopped and fails the test.
package clienttest
