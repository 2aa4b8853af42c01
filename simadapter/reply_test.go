package simadapter

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"ryerill/balancer"
)

func TestSampleBatchesAndTheirReplies(t *testing.T) {
	r := NewReader(bytes.NewReader(append(unhex(t, sampleEmpty), unhex(t, sampleEvents)...)))
	if recs, err := readAll(r); err != nil || len(recs) != 0 || r.Number != 1 || r.Clock != 8412250*time.Microsecond {
		t.Fatalf("empty batch: %v, %v, number %d, clock %v", recs, err, r.Number, r.Clock)
	}
	var w Reply
	w.Begin(r.Number)
	if want := unhex(t, "00000000 04000000 01000000"); !bytes.Equal(w.Bytes(), want) {
		t.Errorf("empty reply % x", w.Bytes())
	}
	recs, err := readAll(r)
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{Instance: 3, Event: balancer.Event{Kind: balancer.RequestArrived, Request: 0x5f325d3a91c4,
			Key: 0x91f03b7c55d20a64, Remaining: 240 * time.Millisecond, ExpectedWork: 12 * time.Millisecond}},
		{Instance: 3, Event: balancer.Event{Kind: balancer.TimerFired, Token: 77}},
		{Instance: 5, Event: balancer.Event{Kind: balancer.ClientLeft, Request: 0x93160_0e6f2b19}},
	}
	if !reflect.DeepEqual(recs, want) {
		t.Errorf("got  %+v\nwant %+v", recs, want)
	}
	w.Begin(r.Number)
	for _, a := range []struct {
		who uint16
		act balancer.Action
	}{
		{3, balancer.Action{Kind: balancer.Send, Request: 0x5f325d3a91c4, Timeout: 80 * time.Millisecond,
			Endpoint: sampleEndpoint}},
		{3, balancer.Action{Kind: balancer.SetTimer, Delay: 500 * time.Millisecond, Token: 77}},
		{5, balancer.Action{Kind: balancer.Log, Text: "two servers known"}},
	} {
		if err := w.Add(a.who, &a.act); err != nil {
			t.Fatal(err)
		}
	}
	if want := unhex(t, sampleReply); !bytes.Equal(w.Bytes(), want) {
		t.Errorf("reply\n% x\nwant\n% x", w.Bytes(), want)
	}
}

// Every other action, as bytes written out by hand.
func TestRecordsOfActions(t *testing.T) {
	for _, c := range []struct {
		act balancer.Action
		hex string
	}{
		{balancer.Action{Kind: balancer.Shed, Request: 5, RetryAfter: time.Millisecond},
			"58 0100 0500000000000000 e8030000"},
		{balancer.Action{Kind: balancer.Fail, Request: 5}, "51 0100 0500000000000000"},
		{balancer.Action{Kind: balancer.Cancel, Request: 5, Attempt: 2}, "59 0100 0500000000000000 02"},
		{balancer.Action{Kind: balancer.Probe, Endpoint: sampleEndpoint}, "50 0100 0a124a07931f"},
		{balancer.Action{Kind: balancer.CloseIdle, Endpoint: sampleEndpoint}, "54 0100 0a124a07931f"},
		{balancer.Action{Kind: balancer.Subscribe, Enabled: true}, "57 0100 01"},
		{balancer.Action{Kind: balancer.FetchEndpoints}, "5b 0100"},
		{balancer.Action{Kind: balancer.SetTimer, Delay: 1}, "55 0100 01000000 00000000"},
	} {
		var w Reply
		w.Begin(1)
		if err := w.Add(1, &c.act); err != nil {
			t.Fatal(err)
		}
		if got := w.Bytes()[replyHeaderSize:]; !bytes.Equal(got, unhex(t, c.hex)) {
			t.Errorf("%+v: % x, want %s", c.act, got, c.hex)
		}
	}
	var w Reply
	w.Begin(1)
	if w.Add(1, &balancer.Action{}) == nil ||
		w.Add(1, &balancer.Action{Kind: balancer.SendToPeer, Payload: make([]byte, 257)}) == nil {
		t.Error("an action that the protocol cannot carry was accepted")
	}
	w.Abort(1, "no")
	if got := w.Bytes()[replyHeaderSize:]; !bytes.Equal(got, unhex(t, "56 0100 0200 6e6f")) {
		t.Errorf("abort % x", got)
	}
}
