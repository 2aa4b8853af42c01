// Package codec encodes the messages between replicas as datagrams and as messages of
// a connection, and decodes them. Each frame carries a version, the fleet it belongs to,
// a number that is used once, and an authentication code. Whatever does not fit is an
// error that names the fault; such a frame is never answered.
//
//	version 1 | fleet 4 | key 1 | number 8 | CBOR | code 16
//
// The version is that of this layout alone. Messages grow by fields and by kinds: they
// are CBOR maps whose keys are small integers, so that an older replica skips what it
// does not know. What a member announces is passed on by others, so its unknown tags are
// kept and passed on as they came. A record's state, by which the newer of two is found,
// never grows.
//
// The code is HMAC-SHA-256 over all before it and the fleet's name, cut to its first 16
// bytes. The number counts up within an epoch of the sender; a receiver keeps a window
// of those that it has received, so that a frame counts once.
package codec
