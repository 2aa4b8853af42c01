package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// trailingBlockSize is the number of bytes read at a time after the end of a list.
const trailingBlockSize = 4 << 10

// Withdrawals are entries of a list that has been read only in part. Their endpoints get no new requests from now on.
type Withdrawals struct {
	Version   uint64 // of the list; 0 if not read yet
	Snapshot  bool   // whether the list is a full one; false if not read yet
	Endpoints []Endpoint
}

// listDecoder decodes a list while its text arrives.
type listDecoder struct {
	reader io.Reader
	text   *json.Decoder
	list   EndpointList

	hasIndex     bool
	hasEndpoints bool

	pending     []Endpoint        // withdrawn entries that have not been reported
	onWithdrawn func(Withdrawals) // nil: withdrawals are not reported before the end of the list
}

// decodeList decodes a list and checks each entry. A damaged answer is an error and never a partial list. Entries that
// withdraw endpoints are safe to apply by themselves: onWithdrawn receives those decoded so far before each read of
// reader, and the remaining ones when decoding ends, also by an error. onWithdrawn may be nil.
func decodeList(reader io.Reader, onWithdrawn func(Withdrawals)) (EndpointList, error) {
	d := &listDecoder{onWithdrawn: onWithdrawn}
	hooked := &hookedReader{reader: reader, beforeRead: d.reportPending}
	d.reader = bufio.NewReaderSize(hooked, readSize) // the decoder alone would read half a KiB at a time
	d.text = json.NewDecoder(d.reader)
	err := d.decode()
	d.reportPending()
	if err != nil {
		return EndpointList{}, fmt.Errorf("list of endpoints: %w", err)
	}
	return d.list, nil
}

// hookedReader calls a function before each read.
type hookedReader struct {
	reader     io.Reader
	beforeRead func()
}

// Read implements [io.Reader].
func (r *hookedReader) Read(p []byte) (int, error) {
	r.beforeRead()
	return r.reader.Read(p)
}

func (d *listDecoder) reportPending() {
	if len(d.pending) == 0 || d.onWithdrawn == nil {
		return
	}
	d.onWithdrawn(Withdrawals{Version: d.list.Index, Snapshot: d.list.Snapshot, Endpoints: d.pending})
	d.pending = nil
}

// decode reads the text, which must be one JSON object.
func (d *listDecoder) decode() error {
	if err := d.delimiter('{'); err != nil {
		return err
	}
	for d.text.More() {
		if err := d.field(); err != nil {
			return unexpectedEnd(err)
		}
	}
	if err := d.delimiter('}'); err != nil {
		return err
	}
	if !d.hasIndex || !d.hasEndpoints {
		return errListIncomplete
	}
	return d.end()
}

// end reads to the end of the text and fails if anything but white space follows the list.
func (d *listDecoder) end() error {
	rest := io.MultiReader(d.text.Buffered(), d.reader)
	block := make([]byte, trailingBlockSize) // the decoder would buffer all white space
	for {
		n, err := rest.Read(block)
		if len(bytes.TrimSpace(block[:n])) > 0 {
			return errTrailingText
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// delimiter reads the delimiter want.
func (d *listDecoder) delimiter(want json.Delim) error {
	token, err := d.text.Token()
	if err != nil {
		return unexpectedEnd(err)
	}
	if token != want {
		return fmt.Errorf("unexpected value %v, want %v", token, want)
	}
	return nil
}

// field reads a field of the list. Unknown fields are skipped.
func (d *listDecoder) field() error {
	token, err := d.text.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string) // the decoder accepts only strings here
	switch {
	case strings.EqualFold(name, "index"):
		var index *uint64
		err = d.text.Decode(&index)
		if index != nil {
			d.list.Index = *index
		}
		d.hasIndex = index != nil
	case strings.EqualFold(name, "snapshot"):
		err = d.text.Decode(&d.list.Snapshot)
	case strings.EqualFold(name, "endpoints"):
		return d.endpoints()
	default:
		var skipped json.RawMessage
		err = d.text.Decode(&skipped)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// endpoints reads the array of entries.
func (d *listDecoder) endpoints() error {
	if err := d.delimiter('['); err != nil {
		return fmt.Errorf("endpoints: %w", err)
	}
	d.hasEndpoints = true
	d.list.Endpoints = []Endpoint{}
	for d.text.More() {
		var entry Endpoint
		err := d.text.Decode(&entry)
		if err == nil {
			err = entry.check()
		}
		if err != nil {
			return fmt.Errorf("endpoints.%d: %w", len(d.list.Endpoints), unexpectedEnd(err))
		}
		d.list.Endpoints = append(d.list.Endpoints, entry)
		if entry.Status != Ready {
			d.pending = append(d.pending, entry)
		}
	}
	return d.delimiter(']')
}

// unexpectedEnd replaces the error of a text that ends before its value does.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return errUnexpectedEnd
	}
	return err
}
