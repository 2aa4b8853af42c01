//go:build fleetlater

package fleet

import "ryerill/fleet/membership"

// unknownKind simulates a message kind added by a later program.
const unknownKind membership.MessageKind = 200

// sendUnknownKind sends a message of the unknown kind to all members. Callers must hold mu.
func (f *Fleet) sendUnknownKind() {
	if f.ended {
		return
	}
	for _, m := range f.list.Members() {
		if m.Self || m.Tags == nil {
			continue
		}
		f.transport.send(m.Name, m.Tags.Address, &membership.Message{
			Kind:    unknownKind,
			From:    f.list.Self().State,
			Target:  m.Name,
			Digest:  f.list.Digest(),
			Payload: []byte("later"),
		})
	}
}
