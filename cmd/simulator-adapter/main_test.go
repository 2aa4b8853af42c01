package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// batch is the frame of a batch.
func batch(number uint32, count uint32, records []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(16+len(records)))
	b = binary.LittleEndian.AppendUint64(b, 1_000_000)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, number)
	return append(b, records...)
}

// start is a record that starts instance 1.
func start(settings string) []byte {
	b := append([]byte{16, 1, 0}, make([]byte, 8)...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(settings)))
	return append(b, settings...)
}

var (
	stop     = []byte{25, 1, 0}
	oneReady = append([]byte{26, 0, 1, 0, 0, 0}, append(make([]byte, 16), 10, 0, 0, 1, 80, 0, 1)...)
	listed   = append([]byte{17, 1, 0, 1}, make([]byte, 9)...)
	arrival  = append([]byte{18, 1, 0, 42, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		0x40, 0x42, 0x0f, 0, 0, 0, 0, 0, 0)
)

func TestRunAnswersEachBatchAndEndsWithTheInput(t *testing.T) {
	in := bytes.Join([][]byte{
		batch(0, 0, nil),
		batch(1, 6, bytes.Join([][]byte{start(""), stop, start("Tiers=a"), oneReady, listed, arrival}, nil)),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	reply := out.Bytes()
	if len(reply) < 12+13 || !bytes.Equal(reply[:12], []byte{0, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0}) {
		t.Fatalf("empty reply % x", reply)
	}
	second := reply[12:]
	if second[0] != 1 || second[8] != 1 || second[12] != 82 || second[15] != 42 {
		t.Errorf("want one ROUTE of request 42 in reply 1, got % x", second)
	}
}

func TestRunStopsInstances(t *testing.T) {
	in := batch(1, 5, bytes.Join([][]byte{start(""), oneReady, listed, stop, arrival}, nil))
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil || out.Bytes()[0] != 0 {
		t.Errorf("a stopped instance acted: % x, %v", out.Bytes(), err)
	}
}

func TestRunExplainsMalformedInputAndRepliesNothing(t *testing.T) {
	for want, in := range map[string][]byte{
		"record code 99": batch(7, 2, append(start(""), 99)),
		"ends at byte":   batch(7, 1, stop)[:18],
		"setting Tier":   batch(7, 1, start("Tier=front")),
	} {
		var out bytes.Buffer
		if err := run(bytes.NewReader(in), &out); err == nil || !strings.Contains(err.Error(), want) || out.Len() > 0 {
			t.Errorf("want %q and no reply, got %v and % x", want, err, out.Bytes())
		}
	}
}

func TestPanicBecomesAnAbort(t *testing.T) {
	var h host
	h.reply.Begin(1)
	h.guard(1, func() { panic("broken") })
	if got := h.reply.Bytes()[12:]; got[0] != 86 || !strings.Contains(string(got), "panic: broken") {
		t.Errorf("got % x", got)
	}
}
