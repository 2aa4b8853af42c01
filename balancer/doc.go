// Package balancer implements the decisions of a load balancer between services: which requests to send to
// which endpoint, which requests to shed and which attempts to retry.
//
// A [Balancer] is a deterministic state machine. It has no clock, goroutine or socket: the host calls
// [Balancer.Handle] with one [Event] at a time and the current time, and carries out the returned [Action]
// values in order. The same events, times and seed give the same actions.
//
// The policy files are balancer.go, limiter.go, admission.go, request.go, keyorder.go, picker.go,
// endpoint.go, endpointlist.go, listpoll.go, health.go, warmup.go and subset.go. They hold every order,
// threshold and tuning constant, and are bounded in size. The other files hold types and mechanisms without
// policy.
package balancer
