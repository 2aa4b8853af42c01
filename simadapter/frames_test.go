package simadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"ryerill/balancer"
)

// unhex decodes hexadecimal text with spaces.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame wraps records into the frame of a batch.
func frame(clock uint64, count, number uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(batchHeaderSize+len(body)))
	b = binary.LittleEndian.AppendUint64(b, clock)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, number)
	return append(b, body...)
}

// readAll reads the records of the next batch.
func readAll(r *Reader) ([]Record, error) {
	if err := r.NextBatch(); err != nil {
		return nil, err
	}
	var all []Record
	for {
		var rec Record
		err := r.NextRecord(&rec)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, rec)
	}
}

// Sample frames of the protocol, field by field.
const (
	sampleEmpty  = "10000000 5a5c800000000000 00000000 01000000"
	sampleEvents = `43000000 5a5c800000000000 03000000 0c000000
		12 0300 c4913a5d325f0000 00 00000000 640ad2557c3bf091 80a90300 e02e0000 01
		16 0300 4d000000
		15 0500 192b6f0e60310900`
	sampleReply = `03000000 3a000000 0c000000
		52 0300 c4913a5d325f0000 80380100 0a124a07 931f
		55 0300 20a10700 4d000000
		5a 0500 1100 74776f2073657276657273206b6e6f776e`
	sampleList = `1a 00 02000000
		00 0000803f 00 0000 0000000000000000 0a124a07 931f 01
		00 0000c03f 00 0000 20145d0000000000 0a9011f2 bc1f 01
		11 0300 01 2900000000000000 00`
	sampleEnd         = "14 0300 c4913a5d325f0000 00 01 00 44480000 0a124a07 931f 00"
	samplePeerMessage = "53 0300 ffff 0400 68692037"
)

const sampleEndpoint = balancer.EndpointID(0x074a120a)<<16 | 0x1f93
