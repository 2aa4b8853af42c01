package quota

import "time"

// budgetBurst is the time that an unused budget of bytes accumulates for.
const budgetBurst = time.Second

// messageClass is a class of messages that has a part of the budget of bytes for itself.
type messageClass int

const (
	renewals messageClass = iota
	requests              // for new loans, and returns
	answers
	messageClasses
)

// budgetParts are the fractions of the budget that each class has in any case. Answers have as much as what they
// answer: if all replicas spent all on requests, none would be granted. New loans have a part, so that a limit whose
// demand has just risen is borrowed of while loans of other limits take all that renewals may.
var budgetParts = [messageClasses]float64{renewals: 0.25, requests: 0.25, answers: 0.5}

// byteBudget limits the bytes of messages on average. What a class leaves unused is for the other ones. Its zero value
// limits nothing.
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

// refill adds what has accumulated: to each class its part, and what is beyond its burst to the other ones.
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

// spend takes the bytes of a message, and reports false if its class has none left. A message may take more than is
// left: the next one waits the longer.
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
