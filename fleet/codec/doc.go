// Package codec encodes and decodes the messages between replicas, as datagrams and as
// messages of a connection. Each frame carries a version, an ID of the fleet, a number
// that is used only once, and an authentication code. Decoding an invalid frame returns
// one of [Errors]; callers must never answer such a frame.
//
//	version 1 | fleet 4 | key 1 | number 8 | CBOR | code 16
//
// The version covers only this layout. New message fields and kinds do not change it:
// messages are CBOR maps whose keys are small integers, and a replica skips unknown keys.
// Members forward the tags of other members, so unknown tags are kept and forwarded
// unchanged. The state of a record, which determines the newer of two records, never gets
// new fields.
//
// The code consists of the first 16 bytes of an HMAC-SHA-256 over the fleet's name and the
// preceding bytes of the frame. The number increases with each frame within an epoch of the
// sender; a receiver keeps a window of received numbers to reject replayed frames.
package codec
