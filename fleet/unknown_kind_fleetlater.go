//go:build fleetlater

package fleet

import "ryerill/fleet/membership"

// unknownKind stands in for a kind of message that a later program adds.
const unknownKind membership.MessageKind = 200

// sendUnknownKind sends a message of the unknown kind to all members. The mutex is held.
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
