// Package balancer decides for a load balancer between services: which requests are sent, to which
// endpoint, which are shed, and what may be tried again.
//
// A [Balancer] is a deterministic state machine. It owns no clock, goroutine or socket: the host hands it
// one [Event] at a time together with the time, and carries out the [Action] values that it returns, in
// order. The same events, times and seed give the same actions.
//
// The files that decide are balancer.go, limiter.go, admission.go, request.go, keyorder.go, picker.go,
// endpoint.go, endpointlist.go, health.go, warmup.go and subset.go. They hold every order, threshold and
// tuning constant, and are bounded in size. The other files hold types and mechanisms that choose nothing.
package balancer
