package fleet

import (
	"ryerill/fleet/membership"
)

// tick handles the timer of the membership list.
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

// handle passes an event to the membership list, executes the resulting actions and returns
// the replies. Callers must hold mu.
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

// logAction logs one line for each action that concerns operators.
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
		f.log.Error("replica displaced by a newer process with the same name, left the fleet: "+
			"expected during an upgrade, otherwise give one of them another name",
			"replica", record.Name, "epoch", record.Epoch)
	case membership.NameConflict:
		f.log.errorThrottled("two running processes share a replica name and the older one still sends: "+
			"give one of them another name", "replica", record.Name)
	case membership.TableFull:
		f.log.warnThrottled("fleet member table full, member ignored", "replica", record.Name)
	case membership.Stalled:
		f.log.Warn("this replica stood still, no members suspected for the stall", "duration", action.Wait)
	}
}

// sendToReplica sends a state sync or rollout message to a member whose address is known. A
// displaced process sends nothing, since it has left the fleet. Callers must hold mu.
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
		ReplicaSetDigest: f.persisted.digest, // same as in membership messages: see announceReplicaSet
		Payload:          payload,
	})
}

// fromCurrentProcess reports whether a message is addressed to this replica and comes from the
// current process of another member. Callers must hold mu.
func (f *Fleet) fromCurrentProcess(message *membership.Message) bool {
	if f.ended || message.Target != f.cfg.Name || message.From.Name == f.cfg.Name {
		return false
	}
	sender, known := f.list.Find(message.From.Name)
	return known && sender.Epoch == message.From.Epoch
}
