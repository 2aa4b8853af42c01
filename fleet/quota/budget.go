package quota

import "time"

// budgetBurst is the time for which unused budget accumulates.
const budgetBurst = time.Second

// messageClass is a class of messages with a guaranteed part of the byte budget.
type messageClass int

const (
	renewals messageClass = iota
	requests              // requests for new loans, and returns
	answers
	messageClasses
)

// budgetParts are the guaranteed fractions of the budget by class. Answers have as much as renewals and requests
// together: if replicas spent the whole budget on requests, no request would be granted. New loans have a part of their
// own, so that a limit whose demand has just risen can borrow while renewals of other limits use up their part.
var budgetParts = [messageClasses]float64{renewals: 0.25, requests: 0.25, answers: 0.5}

// byteBudget limits the average bytes per second of messages. The other classes may use what a class leaves unused. The
// zero value is unlimited.
type byteBudget struct {
	perSecond float64
	available [messageClasses]float64
	updatedAt time.Duration
}

func newByteBudget(perSecond float64, now time.Duration) byteBudget {
	budget := byteBudget{perSecond: perSecond, updatedAt: now}
	for class := range budget.available {
		budget.available[class] = budget.burst(messageClass(class))
	}
	return budget
}

func (b *byteBudget) burst(class messageClass) float64 {
	return budgetParts[class] * b.perSecond * budgetBurst.Seconds()
}

// refill adds the bytes accumulated since the previous call. A class gets its part up to its burst; the excess goes to
// the other classes.
func (b *byteBudget) refill(now time.Duration) {
	added := b.perSecond * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	unused := 0.0
	for class := range b.available {
		b.available[class] += budgetParts[class] * added
		excess := max(b.available[class]-b.burst(messageClass(class)), 0)
		b.available[class] -= excess
		unused += excess
	}
	for class := range b.available {
		taken := min(unused, b.burst(messageClass(class))-b.available[class])
		b.available[class] += taken
		unused -= taken
	}
}

// spend takes the bytes of a message, and reports false if its class has none left. A message may overdraw the class:
// the next message then waits longer.
func (b *byteBudget) spend(now time.Duration, class messageClass, bytes int) bool {
	if b.perSecond <= 0 {
		return true
	}
	b.refill(now)
	if b.available[class] <= 0 {
		return false
	}
	b.available[class] -= float64(bytes)
	return true
}
