// Command simulator-adapter runs balancers under the simulator, over mesa-2a65: one for each instance, batches on
// standard input, replies on standard output. It ends with the input, or with status 1 at a batch that it can't read.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ryerill/balancer"
	"ryerill/simadapter"
)

// inputBuffer is the size of the buffer on standard input, in bytes.
const inputBuffer = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A batch that cannot be read has no reply.
func run(in io.Reader, out io.Writer) error {
	h := host{
		reader:    simadapter.NewReader(bufio.NewReaderSize(in, inputBuffer)),
		balancers: make(map[uint16]*balancer.Balancer),
	}
	for {
		err := h.answerBatch()
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

// host keeps the balancers of this process by instance. They share nothing but its buffers.
type host struct {
	reader    *simadapter.Reader
	reply     simadapter.Reply
	balancers map[uint16]*balancer.Balancer
	actions   []balancer.Action
}

// answerBatch reads one batch and builds its reply. It returns io.EOF at the end of the input.
func (h *host) answerBatch() error {
	if err := h.reader.NextBatch(); err != nil {
		return err
	}
	h.reply.Begin(h.reader.Number)
	var record simadapter.Record
	for {
		err := h.reader.NextRecord(&record)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.apply(&record); err != nil {
			return fmt.Errorf("batch %d, instance %d: %w", h.reader.Number, record.Instance, err)
		}
	}
}

// apply starts or stops an instance, or hands it an event.
func (h *host) apply(record *simadapter.Record) error {
	switch record.Kind {
	case simadapter.Start:
		cfg, err := simadapter.ParseSettings(record.Settings)
		if err != nil {
			return err
		}
		h.guard(record.Instance, func() { h.balancers[record.Instance] = balancer.New(cfg, record.Seed) })
	case simadapter.Stop:
		delete(h.balancers, record.Instance)
	case simadapter.Event:
		return h.handle(record.Instance, record.Event)
	}
	return nil
}

// handle hands an event to an instance and adds its actions to the reply. Events for a stopped one are ignored.
func (h *host) handle(instance uint16, event balancer.Event) error {
	b := h.balancers[instance]
	if b == nil {
		return nil
	}
	h.actions = h.actions[:0]
	h.guard(instance, func() { h.actions = b.Handle(h.reader.Clock, event, h.actions) })
	for i := range h.actions {
		if err := h.reply.Add(instance, &h.actions[i]); err != nil {
			return err
		}
	}
	return nil
}

// guard adds to the reply that decide panicked, if it does.
func (h *host) guard(instance uint16, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Abort(instance, fmt.Sprint("panic: ", p))
		}
	}()
	decide()
}
