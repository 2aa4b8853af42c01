package servermodel

import "time"

// Slack of the budget of a server that warms up: arrivals come in bunches by chance, which must not overload it.
const (
	budgetSlack     = 1.2 // a multiple of the budget
	budgetSlackJobs = 4   // mean jobs
)

// sentWork is work that was sent to a server while it warmed up.
type sentWork struct {
	at   time.Duration
	work float64
}

// Capacity returns the part of its warm capacity that the server has at a time, by its age.
func (s *Server) Capacity(now time.Duration) float64 {
	age := now - s.startedAt
	if s.startedWarm || age >= s.spec.Cold.For {
		return 1
	}
	return s.spec.Cold.From + (1-s.spec.Cold.From)*float64(age)/float64(s.spec.Cold.For)
}

// Cold reports whether the server is warming up.
func (s *Server) Cold() bool { return !s.startedWarm && s.now-s.startedAt < s.spec.Cold.For }

// Overloaded reports whether the server was overloaded while it warmed up, and so does nothing any more.
func (s *Server) Overloaded() bool { return s.overloaded }

// receive records work that is sent to a server that warms up, and overloads it if that is too much within its span.
func (s *Server) receive(work float64) {
	if !s.Cold() || s.overloaded {
		return
	}
	s.recent = append(s.recent, sentWork{at: s.now, work: work})
	s.Received += work
	for len(s.recent) > 0 && s.now-s.recent[0].at > s.spec.Cold.Within {
		s.Received -= s.recent[0].work
		s.recent = s.recent[1:]
	}
	budget := s.spec.Cold.Tips * s.Capacity(s.now) * s.Rate() * s.spec.Cold.Within.Seconds()
	meanJob := s.Received / float64(len(s.recent))
	if s.Received > budgetSlack*budget+budgetSlackJobs*meanJob {
		s.overloaded = true
	}
}
