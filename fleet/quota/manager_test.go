package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newLenderAndBorrower returns two replicas that share a rate and an amount limit of 10.
func newLenderAndBorrower(epoch uint64) (lender, borrower *Manager) {
	make := func(name, other string, epoch uint64) *Manager {
		a := New(name, epoch, 1, false, 0)
		a.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
		a.SetReplicaCount(0, 2, []string{other})
		return a
	}
	return make("l", "b", 1), make("b", "l", epoch)
}

// A credit ends before its debit for any message delay and clock drift.
func TestCreditEndsBeforeDebit(t *testing.T) {
	for _, pace := range []float64{1 - MaxClockDrift, 1, 1 + MaxClockDrift} {
		for _, late := range []time.Duration{0, 100 * time.Millisecond, 490 * time.Millisecond} {
			l, b := newLenderAndBorrower(1)
			own := func(now time.Duration) time.Duration { return time.Duration(float64(now) * pace) }
			drifted := func(now time.Duration) time.Duration { return time.Duration(float64(now) * (2 - pace)) }
			b.AddDemand(own(0), "r", 100)
			sent := b.Tick(own(0), nil)
			grants := l.Handle(drifted(0), "b", sent[0].Message, nil)
			b.Handle(own(late), "l", grants[0].Message, nil)
			lent := false
			for now := late; now < 2*Lease; now += time.Millisecond {
				if sum := b.Rate(own(now), "r") + l.Rate(drifted(now), "r"); sum > 10.0001 {
					t.Fatalf("pace %v, answer after %v: at %v: got a combined rate of %v, want at most 10", pace, late, now, sum)
				}
				lent = lent || b.Rate(own(now), "r") > 5
			}
			if !lent {
				t.Errorf("pace %v, answer after %v: got no loan, want one", pace, late)
			}
		}
	}
}

func TestDuplicatedAndOldMessages(t *testing.T) {
	l, b := newLenderAndBorrower(1)
	b.AddDemand(0, "r", 100)
	b.AddDemand(0, "s", 100)
	var sent, grants []Action
	for _, a := range b.Tick(0, nil) {
		sent = append(sent, a)
		grants = l.Handle(0, "b", a.Message, grants)
	}
	rate, left := l.Rate(0, "r"), l.Left("s")
	for _, a := range sent { // duplicates: the same answer, and no further debit
		again := l.Handle(time.Second, "b", a.Message, nil)
		if !slices.ContainsFunc(grants, func(g Action) bool { return g == again[0] }) {
			t.Errorf("duplicate request %+v: got answer %+v, want the first one", a.Message, again[0].Message)
		}
	}
	if l.Rate(time.Second, "r") != rate || l.Left("s") != left {
		t.Errorf("duplicate requests changed the lender: got rate %v, amount %v", l.Rate(time.Second, "r"), l.Left("s"))
	}
	// The borrower restarts and reuses sequence numbers in a new epoch; grants to its previous process arrive.
	_, next := newLenderAndBorrower(2)
	next.AddDemand(2*time.Second, "r", 100)
	next.AddDemand(2*time.Second, "s", 100)
	next.Tick(2*time.Second, nil)
	for _, g := range grants {
		next.Handle(2*time.Second, "l", g.Message, nil)
	}
	if next.Rate(2*time.Second, "r") > 5.001 || next.Left("s") > 5.001 {
		t.Errorf("grants to a previous process counted: got rate %v, amount %v, want at most 5 each", next.Rate(2*time.Second, "r"), next.Left("s"))
	}
	for _, g := range append(grants, grants...) { // the first process counts each grant once
		b.Handle(100*time.Millisecond, "l", g.Message, nil)
	}
	if sum := b.Rate(100*time.Millisecond, "r") + l.Rate(100*time.Millisecond, "r"); sum > 10.001 || b.Left("s")+l.Left("s") > 10.001 {
		t.Errorf("got a combined rate of %v and amount of %v, want at most 10 each", sum, b.Left("s")+l.Left("s"))
	}
	for _, bad := range []Message{{Request: RequestID{"b", 1, 99}, Quota: "r", Amount: -5}, {Request: RequestID{"x", 1, 99}, Quota: "r", Amount: 1},
		{Request: RequestID{"b", 1, 99}, Quota: "nothing", Amount: 1}, {Grant: true, From: "y", Request: RequestID{"l", 1, 1}, Quota: "r", Amount: 1}} {
		if out := l.Handle(time.Second, "b", bad, nil); len(out) > 0 {
			t.Errorf("invalid message %+v: got an answer, want none", bad)
		}
	}
}

func TestUnconfirmedReplicaHasNoShare(t *testing.T) {
	a := New("a", 1, 1, false, 0)
	a.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
	a.SetReplicaCount(0, 0, []string{"b"})
	if a.Rate(0, "r") != 0 || a.Left("s") != 0 {
		t.Error("got rate and amount", a.Rate(0, "r"), a.Left("s"), "want 0 and 0")
	}
}

// A limit that changes its kind is spent as the new kind, and starts with an empty account.
func TestChangeOfKindStartsNewAccount(t *testing.T) {
	const name = "x"
	for _, tc := range []struct {
		name               string
		before, after      Kind
		wantRate, wantLeft float64
	}{
		{"a rate becomes an amount", Rate, Amount, 0, 5},
		{"an amount becomes a rate", Amount, Rate, 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := New("a", 1, 1, false, 0)
			setKind := func(kind Kind) {
				a.SetLimits(0, []Limit{{name, kind, 10}})
				a.SetReplicaCount(0, 2, []string{"b"})
			}
			setKind(tc.before)
			setKind(tc.after)
			if rate, left := a.Rate(0, name), a.Left(name); rate != tc.wantRate || left != tc.wantLeft {
				t.Errorf("got rate %v, amount %v; want rate %v, amount %v", rate, left, tc.wantRate, tc.wantLeft)
			}
			if spent := a.Spend(0, name, tc.wantLeft+1); spent {
				t.Error("Spend of more than the share succeeded")
			}
			if spent := a.Spend(0, name, 5); spent != (tc.after == Amount) {
				t.Errorf("Spend of the share: got %v", spent)
			}
			setKind(tc.after) // the same limits again
			if left := a.Left(name); left != 0 {
				t.Errorf("after spending the share: got amount %v, want 0", left)
			}
		})
	}
}

// Loans of a rate limit stay debited until their leases end if the limit is an amount limit meanwhile: the borrower may
// not have noticed.
func TestLoansOutlastAChangeOfKind(t *testing.T) {
	l, b := newLenderAndBorrower(1)
	b.AddDemand(0, "r", 100)
	for _, request := range b.Tick(0, nil) {
		for _, grant := range l.Handle(0, "b", request.Message, nil) {
			b.Handle(0, "l", grant.Message, nil)
		}
	}
	if b.Rate(0, "r") <= 5 {
		t.Fatalf("got borrower rate %v, want more than 5", b.Rate(0, "r"))
	}
	l.SetLimits(0, []Limit{{"r", Amount, 10}, {"s", Amount, 10}})
	l.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
	if sum := l.Rate(0, "r") + b.Rate(0, "r"); sum > 10.0001 {
		t.Errorf("got a combined rate of %v, want at most 10", sum)
	}
	if rate := l.Rate(2*Lease, "r"); rate != 5 {
		t.Errorf("after the lease: got lender rate %v, want 5", rate)
	}
}

// Loans of a limit that is removed and added back, as by reloads of the settings, stay debited until their leases end.
// Meanwhile FitsWithin counts them, also while the limit is not listed.
func TestLoansOutlastTheRemovalOfTheirLimit(t *testing.T) {
	l, b := newLenderAndBorrower(1)
	b.AddDemand(0, "r", 100)
	for _, request := range b.Tick(0, nil) {
		for _, grant := range l.Handle(0, "b", request.Message, nil) {
			b.Handle(0, "l", grant.Message, nil)
		}
	}
	if b.Rate(0, "r") <= 5 {
		t.Fatalf("got borrower rate %v, want more than 5", b.Rate(0, "r"))
	}
	l.SetLimits(0, []Limit{{"s", Amount, 10}})
	l.Tick(0, nil)
	if l.Rate(0, "r") != 0 {
		t.Errorf("removed limit: got rate %v, want 0", l.Rate(0, "r"))
	}
	if l.FitsWithin(0, 3) {
		t.Error("FitsWithin ignores the loans of the removed limit")
	}
	l.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
	if sum := l.Rate(0, "r") + b.Rate(0, "r"); sum > 10.0001 {
		t.Errorf("got a combined rate of %v, want at most 10", sum)
	}
	if rate := l.Rate(2*Lease, "r"); rate != 5 {
		t.Errorf("after the lease: got lender rate %v, want 5", rate)
	}
	l.SetLimits(2*Lease, nil)
	l.Tick(2*Lease, nil)
	if !l.FitsWithin(2*Lease, 3) || len(l.delisted) > 0 {
		t.Errorf("after the leases: got %d removed limits kept, want 0 and FitsWithin true", len(l.delisted))
	}
}

// Once more limits are removed than are kept, the replica withholds their loans as after a restart.
func TestLoansOfManyRemovedLimitsAreWithheld(t *testing.T) {
	l, _ := newLenderAndBorrower(1)
	for i := range maxDelisted + 1 {
		name := fmt.Sprint("limit", i)
		l.SetLimits(0, []Limit{{"r", Rate, 10}, {name, Rate, 10}})
		request := Message{Request: RequestID{"b", 1, uint64(i + 1)}, Quota: name, Amount: 4}
		if granted := l.Handle(0, "b", request, nil); len(granted) != 1 || granted[0].Message.Amount != 4 {
			t.Fatalf("%s: %+v", name, granted)
		}
	}
	l.SetLimits(0, []Limit{{"r", Rate, 10}})
	if len(l.delisted) > maxDelisted {
		t.Errorf("got %d removed limits kept, want at most maxDelisted", len(l.delisted))
	}
	last := fmt.Sprint("limit", maxDelisted)
	l.SetLimits(0, []Limit{{last, Rate, 10}})
	if rate := l.Rate(0, last); rate > 1.0001 {
		t.Errorf("got rate %v, want at most 1: the share is 5 and 4 are lent", rate)
	}
}
