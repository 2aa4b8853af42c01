// Command simulator-adapter runs balancers on the mesa-2a65 wire: one for each
// instance, batches on standard input, replies on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ryerill/balancer"
	"ryerill/simadapter"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A batch that cannot be read is
// answered with nothing at all.
func run(in io.Reader, out io.Writer) error {
	h := host{reader: simadapter.NewReader(bufio.NewReaderSize(in, 1<<16)), balancers: make(map[uint16]*balancer.Balancer)}
	for {
		err := h.batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("reply to batch %d: %w", h.reader.Number, err)
		}
	}
}

// host keeps the balancers of this process; they share nothing but its buffers.
type host struct {
	reader    *simadapter.Reader
	reply     simadapter.Reply
	balancers map[uint16]*balancer.Balancer
	actions   []balancer.Action
}

// batch reads one batch and builds its reply.
func (h *host) batch() error {
	if err := h.reader.NextBatch(); err != nil {
		return err
	}
	h.reply.Begin(h.reader.Number)
	var rec simadapter.Record
	for {
		err := h.reader.NextRecord(&rec)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch rec.Kind {
		case simadapter.Start:
			cfg, err := simadapter.ParseSettings(rec.Settings)
			if err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", h.reader.Number, rec.Instance, err)
			}
			h.guard(rec.Instance, func() { h.balancers[rec.Instance] = balancer.New(cfg, rec.Seed) })
		case simadapter.Stop:
			delete(h.balancers, rec.Instance)
		case simadapter.Event:
			b := h.balancers[rec.Instance]
			if b == nil {
				continue // killed: what is still under way to it concerns nobody
			}
			if err := h.handle(rec.Instance, b, h.reader.Clock, rec.Event); err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", h.reader.Number, rec.Instance, err)
			}
		}
	}
}

func (h *host) handle(instance uint16, b *balancer.Balancer, now time.Duration, ev balancer.Event) error {
	h.actions = h.actions[:0]
	h.guard(instance, func() { h.actions = b.Handle(now, ev, h.actions) })
	for i := range h.actions {
		if err := h.reply.Add(instance, &h.actions[i]); err != nil {
			return err
		}
	}
	return nil
}

// guard turns a panic of the decision code into the wire's word for it.
func (h *host) guard(instance uint16, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Abort(instance, fmt.Sprint("panic: ", p))
		}
	}()
	decide()
}
