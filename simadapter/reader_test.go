package simadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"ryerill/balancer"
)

func TestSampleListOutcomeAndPeerMessage(t *testing.T) {
	recs, err := readAll(NewReader(bytes.NewReader(frame(1, 3, 2, unhex(t, sampleList), unhex(t, sampleEnd)))))
	if err != nil || len(recs) != 2 {
		t.Fatalf("%+v, %v", recs, err)
	}
	list := recs[0].Event
	if list.ListKind != balancer.ListCached || list.Version != 41 || len(list.Endpoints) != 2 {
		t.Errorf("list %+v", list)
	}
	second := balancer.Endpoint{ID: 0xf211900a<<16 | 0x1fbc, State: balancer.Ready, Weight: 1.5,
		StartedAt: 0x5d1420 * time.Microsecond}
	if list.Endpoints[1] != second {
		t.Errorf("second entry %+v, want %+v", list.Endpoints[1], second)
	}
	end := recs[1].Event
	if end.Outcome != balancer.OK || !end.RequestClosed || end.Elapsed != 18500*time.Microsecond ||
		end.Endpoint != sampleEndpoint {
		t.Errorf("end %+v", end)
	}
	var w Reply
	w.Begin(0)
	if err := w.Add(3, &balancer.Action{Kind: balancer.SendToPeer, Peer: 0xffff, Payload: []byte("hi 7")}); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, samplePeerMessage); !bytes.Equal(w.Bytes()[replyHeaderSize:], want) {
		t.Errorf("message to a peer % x", w.Bytes()[replyHeaderSize:])
	}
}

// Every other event, from bytes written out by hand.
func TestRecordsOfEvents(t *testing.T) {
	load := binary.LittleEndian.AppendUint32(nil, math.Float32bits(0.5))
	for _, c := range []struct {
		name, hex string
		want      Record
	}{
		{"init", "10 0700 0102030405060708 03000000 613d62",
			Record{Kind: Start, Instance: 7, Seed: 0x0807060504030201, Settings: "a=b"}},
		{"stop", "19 0700", Record{Kind: Stop, Instance: 7}},
		{"begun", "13 0100 0500000000000000 02 0a124a07931f e8030000", Record{Instance: 1, Event: balancer.Event{
			Kind: balancer.StreamStarted, Request: 5, Attempt: 2, Endpoint: sampleEndpoint,
			Elapsed: time.Millisecond}}},
		{"status", "17 0100 0a124a07931f 04 e8030000 01" + hex.EncodeToString(load),
			Record{Instance: 1, Event: balancer.Event{
				Kind: balancer.ProbeEnded, Outcome: balancer.ConnectFailed, Endpoint: sampleEndpoint,
				Elapsed: time.Millisecond, LoadReport: []float32{0.5}}}},
		{"heard", "18 0100 09000000 0200 6869", Record{Instance: 1, Event: balancer.Event{
			Kind: balancer.PeerMessageReceived, Peer: 9, Payload: []byte("hi")}}},
		{"failed list", "11 0100 02 0000000000000000 63", Record{Instance: 1, Event: balancer.Event{
			Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFailed}}},
		{"no hint", "12 0100 0500000000000000 01 02000000 0000000000000000 01000000 07000000 06", Record{Instance: 1,
			Event: balancer.Event{Kind: balancer.RequestArrived, Request: 5, Class: 1, Tenant: 2,
				Remaining: time.Microsecond, ClientRetry: true, Write: true}}},
	} {
		recs, err := readAll(NewReader(bytes.NewReader(frame(1, 1, 1, unhex(t, c.hex)))))
		if err != nil || len(recs) != 1 || !reflect.DeepEqual(recs[0], c.want) {
			t.Errorf("%s: got %+v, %v\nwant %+v", c.name, recs, err, c.want)
		}
	}
}

func TestListNumbersResolveInOrder(t *testing.T) {
	list := func(port string) []byte {
		return unhex(t, "1a 03 01000000 00 0000803f 00 0000 0000000000000000 0a000001 "+port+" 01")
	}
	use := unhex(t, "11 0100 00 0100000000000000 03")
	recs, err := readAll(NewReader(bytes.NewReader(frame(1, 4, 1, list("0100"), use, list("0200"), use))))
	if err != nil || len(recs) != 2 {
		t.Fatal(recs, err)
	}
	if a, b := recs[0].Event.Endpoints[0].ID, recs[1].Event.Endpoints[0].ID; a&0xffff != 1 || b&0xffff != 2 {
		t.Errorf("lists were mixed up: %x, %x", a, b)
	}
}

func TestMalformedInputIsExplained(t *testing.T) {
	for name, c := range map[string]struct{ hex, want string }{
		"short header": {"08000000 0000000000000000", "shorter than its header"},
		"cut frame":    {"20000000 5a5c", "ends at byte 2 of 32"},
		"cut length":   {"2000", "length of the next frame"},
		"unknown code": {"11000000 0100000000000000 01000000 01000000 c8", "record code 200"},
		"cut record":   {"13000000 0100000000000000 01000000 01000000 120300", "ends early"},
		"left over":    {"12000000 0100000000000000 00000000 01000000 0000", "2 bytes after the last record"},
		"undefined list": {"1d000000 0100000000000000 01000000 01000000 11 0300 01 2900000000000000 05",
			"never defined"},
		"long list": {"16000000 0100000000000000 01000000 01000000 1a 00 ffffffff", "ends early"},
	} {
		_, err := readAll(NewReader(bytes.NewReader(unhex(t, c.hex))))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	//nolint:errorlint // the error itself is promised, not one that wraps it
	if err := NewReader(strings.NewReader("")).NextBatch(); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	for _, s := range []string{sampleEmpty, sampleEvents} {
		f.Add(unhex(f, s))
	}
	f.Add(frame(1, 3, 2, unhex(f, sampleList), unhex(f, sampleEnd)))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			if _, err := readAll(r); err != nil {
				return
			}
		}
	})
}
