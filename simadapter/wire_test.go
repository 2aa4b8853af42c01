package simadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"ryerill/balancer"
)

func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame wraps records into a batch.
func frame(clock uint64, count, number uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(batchHeader+len(body)))
	b = binary.LittleEndian.AppendUint64(b, clock)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, number)
	return append(b, body...)
}

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

// The frames of the wire page, field by field.
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
	sampleEnd  = "14 0300 c4913a5d325f0000 00 01 00 44480000 0a124a07 931f 00"
	sampleMemo = "53 0300 ffff 0400 68692037"
)

const sampleServer = balancer.EndpointID(0x074a120a)<<16 | 0x1f93

func TestSampleFrames(t *testing.T) {
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
		{3, balancer.Action{Kind: balancer.Send, Request: 0x5f325d3a91c4, Timeout: 80 * time.Millisecond, Endpoint: sampleServer}},
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

func TestSampleListOutcomeAndMemo(t *testing.T) {
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
	if end.Outcome != balancer.OK || !end.RequestClosed || end.Elapsed != 18500*time.Microsecond || end.Endpoint != sampleServer {
		t.Errorf("end %+v", end)
	}
	var w Reply
	w.Begin(0)
	if err := w.Add(3, &balancer.Action{Kind: balancer.SendToPeer, Peer: 0xffff, Payload: []byte("hi 7")}); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, sampleMemo); !bytes.Equal(w.Bytes()[replyHeader:], want) {
		t.Errorf("memo % x", w.Bytes()[replyHeader:])
	}
}

// Every other event, from bytes written out by hand.
func TestEvents(t *testing.T) {
	load := binary.LittleEndian.AppendUint32(nil, math.Float32bits(0.5))
	for _, c := range []struct {
		name, hex string
		want      Record
	}{
		{"init", "10 0700 0102030405060708 03000000 613d62", Record{Kind: Start, Instance: 7, Seed: 0x0807060504030201, Settings: "a=b"}},
		{"stop", "19 0700", Record{Kind: Stop, Instance: 7}},
		{"begun", "13 0100 0500000000000000 02 0a124a07931f e8030000", Record{Instance: 1, Event: balancer.Event{
			Kind: balancer.StreamStarted, Request: 5, Attempt: 2, Endpoint: sampleServer, Elapsed: time.Millisecond}}},
		{"status", "17 0100 0a124a07931f 04 e8030000 01" + hex.EncodeToString(load), Record{Instance: 1, Event: balancer.Event{
			Kind: balancer.ProbeEnded, Outcome: balancer.ConnectFailed, Endpoint: sampleServer, Elapsed: time.Millisecond, LoadReport: []float32{0.5}}}},
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

// Every other action, as bytes written out by hand.
func TestActions(t *testing.T) {
	for _, c := range []struct {
		act balancer.Action
		hex string
	}{
		{balancer.Action{Kind: balancer.Shed, Request: 5, RetryAfter: time.Millisecond}, "58 0100 0500000000000000 e8030000"},
		{balancer.Action{Kind: balancer.Fail, Request: 5}, "51 0100 0500000000000000"},
		{balancer.Action{Kind: balancer.Cancel, Request: 5, Attempt: 2}, "59 0100 0500000000000000 02"},
		{balancer.Action{Kind: balancer.Probe, Endpoint: sampleServer}, "50 0100 0a124a07931f"},
		{balancer.Action{Kind: balancer.CloseIdle, Endpoint: sampleServer}, "54 0100 0a124a07931f"},
		{balancer.Action{Kind: balancer.Subscribe, Enabled: true}, "57 0100 01"},
		{balancer.Action{Kind: balancer.FetchEndpoints}, "5b 0100"},
		{balancer.Action{Kind: balancer.SetTimer, Delay: 1}, "55 0100 01000000 00000000"},
	} {
		var w Reply
		w.Begin(1)
		if err := w.Add(1, &c.act); err != nil {
			t.Fatal(err)
		}
		if got := w.Bytes()[replyHeader:]; !bytes.Equal(got, unhex(t, c.hex)) {
			t.Errorf("%+v: % x, want %s", c.act, got, c.hex)
		}
	}
	var w Reply
	w.Begin(1)
	if w.Add(1, &balancer.Action{}) == nil || w.Add(1, &balancer.Action{Kind: balancer.SendToPeer, Payload: make([]byte, 257)}) == nil {
		t.Error("an action the wire cannot carry was taken")
	}
	w.Abort(1, "no")
	if got := w.Bytes()[replyHeader:]; !bytes.Equal(got, unhex(t, "56 0100 0200 6e6f")) {
		t.Errorf("bail out % x", got)
	}
}

func TestListNumbersResolveInEventOrder(t *testing.T) {
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

func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct{ hex, want string }{
		"short header":   {"08000000 0000000000000000", "shorter than its header"},
		"cut frame":      {"20000000 5a5c", "ends at byte 2 of 32"},
		"cut length":     {"2000", "length of the next frame"},
		"unknown code":   {"11000000 0100000000000000 01000000 01000000 c8", "record code 200"},
		"cut record":     {"13000000 0100000000000000 01000000 01000000 120300", "ends early"},
		"left over":      {"12000000 0100000000000000 00000000 01000000 0000", "2 bytes after the last record"},
		"undefined list": {"1d000000 0100000000000000 01000000 01000000 11 0300 01 2900000000000000 05", "never defined"},
		"long list":      {"16000000 0100000000000000 01000000 01000000 1a 00 ffffffff", "ends early"},
	} {
		_, err := readAll(NewReader(bytes.NewReader(unhex(t, c.hex))))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	if err := NewReader(strings.NewReader("")).NextBatch(); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func TestSettings(t *testing.T) {
	cfg, err := ParseSettings(`Unknown.Key=1
Classes.count=2
Classes.0.Name=a
Classes.0.Slo=2500000
Classes.0.Deadline=6000000
Classes.0.Effect=token
Classes.0.Group=cell
Classes.0.MemorySpan=10000000
Classes.0.LateWorth=0.25
Classes.0.Worth=8.0
Classes.1.Effect=pure
Classes.1.KeepOrder=true
Customers.count=1
Customers.0.Name=x_y
Customers.0.QuotaPerS=49.0
Discovery=subscribe
GroupSize=3
Tier=1
Tiers=p,q,r
ValueBy=work
Limits.TryLimit=5
Limits.MayCancel=true
Contract.ColdFrom=0.13
Contract.WarmUp=23000000
Contract.DrainBindsAlone=true
Contract.KeyRest=50000
Goal.LogLossPart=0.2
Goal.TopNines=3
LoadInfo.Names=pending,cpu_share
`)
	want := balancer.Config{
		Classes: []balancer.Class{
			{Name: "a", LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, Effect: balancer.Keyed,
				Group: balancer.GroupCell, IdempotencyWindow: 10 * time.Second, LateWeight: 0.25, PriorityWeight: 8},
			{Effect: balancer.Safe, Group: balancer.GroupCell, OrderedByKey: true},
		},
		Tenants: []balancer.Tenant{{Name: "x_y", Quota: 49}}, ReplicaCount: 3, Tier: 1, Tiers: 3,
		Subscribe: true, WeightByWork: true, LoadReportNames: []string{"pending", "cpu_share"},
		Limits:   balancer.Limits{MaxAttempts: 5, AllowCancel: true},
		Contract: balancer.Contract{InitialCapacity: 0.13, WarmUpPeriod: 23 * time.Second, OnlyDrainingBinds: true, KeyQuarantine: 50 * time.Millisecond},
		Goal:     balancer.Goal{LogLossWeight: 0.2, TopNines: 3},
	}
	if err != nil || !reflect.DeepEqual(cfg, want) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, cfg, want)
	}
	for _, bad := range []string{"Tier=x", "Classes.count=-1", "Classes.count=99999999999", "Contract.ColdFrom=NaN",
		"Contract.KeyRest=soon", "Contract.KeyRest=NaN", "Goal.TopNines=many", "Goal.LogLossPart=Inf"} {
		if _, err := ParseSettings(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
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
