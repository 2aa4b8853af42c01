package fleet

import (
	"ryerill/fleet/membership"
)

// tick is called by the timer when the membership list has something due.
func (f *Fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle(membership.Event{Kind: membership.Tick})
	f.sendUnknownKind()
}

// receive handles a datagram.
func (f *Fleet) receive(message *membership.Message, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle(membership.Event{Kind: membership.MessageReceived, Message: message, From: address})
	switch message.Kind {
	case membership.StateSync:
		f.receiveStateSync(message)
	case membership.Rollout:
		f.receiveRollout(message)
	}
}

// handle passes an event to the membership list, executes its actions and returns the
// replies among them. The mutex is held.
func (f *Fleet) handle(event membership.Event) (replies []*membership.Message) {
	if f.ended {
		return nil
	}
	f.actions = f.list.Handle(f.now(), event, f.actions[:0])
	membersChanged := false
	for i := range f.actions {
		action := &f.actions[i]
		switch action.Kind {
		case membership.Send:
			f.transport.send(action.Name, action.Address, action.Message)
		case membership.StartSync:
			f.startSync(action)
		case membership.Reply:
			replies = append(replies, action.Message)
		case membership.MemberChanged:
			membersChanged = true
			f.expireSharedState(action)
			f.logAction(action)
		case membership.Displaced:
			membersChanged = true
			f.logAction(action)
		default:
			f.logAction(action)
		}
	}
	f.updatePositions(membersChanged)
	if due := f.list.NextTick(); due < farFuture {
		f.timer.Reset(max(due-f.now(), 0))
	}
	return replies
}

// logAction logs what an operator should know: one line for each change of a member.
func (f *Fleet) logAction(action *membership.Action) {
	record := &action.Record
	switch action.Kind {
	case membership.MemberChanged:
		address := ""
		if record.Tags != nil {
			address = record.Tags.Address
		}
		f.log.Info("fleet member changed", "replica", record.Name, "status", record.Status.String(),
			"previous", action.PreviousStatus.String(), "reason", action.Reason,
			"epoch", record.Epoch, "incarnation", record.Incarnation, "address", address)
	case membership.Displaced:
		f.log.Error("another process of this name started later, this one is not part of the fleet any more: "+
			"expected at an upgrade, else give one of them another name", "replica", record.Name, "epoch", record.Epoch)
	case membership.NameConflict:
		f.log.errorOccasionally("two processes have one replica name and the earlier one still sends: "+
			"give one of them another name", "replica", record.Name)
	case membership.TableFull:
		f.log.warnOccasionally("no room for another fleet member", "replica", record.Name)
	case membership.Stalled:
		f.log.Warn("this replica stood still and suspects nobody for it", "duration", action.Wait)
	}
}

// sendToReplica sends a message of another package to a member, if its address is
// known. A displaced process sends none: it is not part of the fleet any more. The mutex
// is held.
func (f *Fleet) sendToReplica(name string, kind membership.MessageKind, payload []byte) {
	r, known := f.list.Find(name)
	if !known || r.Tags == nil || f.list.Displaced() {
		return
	}
	f.transport.send(name, r.Tags.Address, &membership.Message{
		Kind:             kind,
		From:             f.list.Self().State,
		Target:           name,
		Digest:           f.list.Digest(),
		ReplicaSetDigest: f.persisted.digest, // as the list's own messages: see announceReplicaSet
		Payload:          payload,
	})
}

// fromCurrentProcess reports whether a message for this replica is from the present
// process of another member. The mutex is held.
func (f *Fleet) fromCurrentProcess(message *membership.Message) bool {
	if f.ended || message.Target != f.cfg.Name || message.From.Name == f.cfg.Name {
		return false
	}
	sender, known := f.list.Find(message.From.Name)
	return known && sender.Epoch == message.From.Epoch
}
