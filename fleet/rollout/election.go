package rollout

import (
	"fmt"
	"time"

	"ryerill/internal/seedrand"
)

// Parameters of elections.
const (
	// Lease is the validity of a vote by the voter's clock, before the allowance for clock drift.
	Lease = 3 * time.Second

	maxClockDrift   = 0.02 // greatest fraction by which a clock runs fast or slow
	renewInterval   = Lease / 3
	campaignTimeout = Lease / 2 // after which a candidate without a quorum gives up
	campaignSpread  = 4 * Lease // range of the random delay before a candidacy
	maxBallots      = 4         // latest requests for votes whose answers count
)

// withMaxDrift returns the duration on the voter's clock that lasts at least span on every other clock.
func withMaxDrift(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + 2*maxClockDrift))
}

// election is a replica's side of leader elections. A candidate first checks in a pre-vote whether it would be elected,
// then requests votes under a new fencing token. With the votes of a quorum it holds a lease, which it renews by
// requesting votes again. The lease starts at the request and so ends before the votes expire. Requests carry the
// head of the candidate's plan state: voters with a newer state refuse.
type election struct {
	highestToken uint64 // highest fencing token seen
	vote         vote   // given by this replica

	// State of a candidate or leader.
	token          uint64 // its fencing token; 0 if it is neither
	lastSeq        uint64
	preVote        ballot
	ballots        []ballot      // the latest ones; answers to one may arrive after the next was sent
	leaseUntil     time.Duration // 0 until the election is won
	ordersFrom     time.Duration // when it may give orders: votes for a previous leader have expired
	nextCampaignAt time.Duration // as a candidate, when it gives up; 0 if not yet scheduled
	nextRenewalAt  time.Duration
}

// vote is given to one candidate at a time, and expires.
type vote struct {
	candidate string
	until     time.Duration
}

// allows reports whether the vote is free or already given to candidate.
func (v *vote) allows(candidate string, now time.Duration) bool {
	return now >= v.until || v.candidate == candidate
}

// ballot is one request for votes, or for pre-votes.
type ballot struct {
	seq    uint64
	sentAt time.Duration
	voters map[string]bool
}

// newElection returns the election of a replica that has just started. The replica does not vote until any vote that it
// may have given before a restart has expired.
func newElection(now time.Duration) election {
	return election{vote: vote{until: now + withMaxDrift(Lease)}}
}

func (e *election) isLeader(now time.Duration) bool {
	return e.token != 0 && now < e.leaseUntil && e.token >= e.highestToken
}

// superseded reports whether another replica has a higher token than this candidate or leader.
func (e *election) superseded() bool { return e.token != 0 && e.token < e.highestToken }

func (e *election) sawToken(token uint64) { e.highestToken = max(e.highestToken, token) }

// nextToken returns a fencing token above the highest seen.
func (e *election) nextToken() uint64 {
	e.highestToken++
	return e.highestToken
}

// resign gives up the candidacy or leadership.
func (e *election) resign() {
	e.token = 0
	e.leaseUntil = 0
}

// withdraw gives up the candidacy or leadership of a plan that has ended. It keeps leaseUntil.
func (e *election) withdraw() { e.token = 0 }

// stepDown resigns and defers the next candidacy.
func (e *election) stepDown(env *environment) {
	e.resign()
	e.deferCampaign(env)
}

func (e *election) deferCampaign(env *environment) { e.nextCampaignAt = env.now + e.campaignDelay(env) }

// campaignDelay returns how long a replica waits before a candidacy: until votes for others have expired, plus a random
// delay derived from its name and the token. Without that delay all replicas would become candidates at once and vote
// for themselves, and none would be elected. The first replica by name has no random delay.
func (e *election) campaignDelay(env *environment) time.Duration {
	if env.replicas.isFirst(env.name) {
		return withMaxDrift(Lease)
	}
	spread := seedrand.Spread(fmt.Sprint(e.highestToken), "/", env.name) % uint64(campaignSpread)
	return withMaxDrift(Lease) + time.Duration(spread)
}

// considerCampaign starts a pre-vote when it is due and a quorum is alive. Without a quorum, a new token would only
// disturb replicas that have one.
func (e *election) considerCampaign(env *environment, head *State) {
	if e.nextCampaignAt == 0 {
		e.deferCampaign(env)
	}
	if env.now < e.nextCampaignAt || !e.vote.allows(env.name, env.now) || !env.replicas.hasQuorum() {
		return
	}
	// A failed candidacy would keep votes from others for the length of a lease, so a pre-vote comes first.
	e.lastSeq++
	e.preVote = ballot{seq: e.lastSeq, sentAt: env.now, voters: map[string]bool{env.name: true}}
	env.sendToPeers(Message{Kind: PreVoteRequest, FencingToken: e.highestToken + 1, Seq: e.lastSeq, State: head})
	e.deferCampaign(env)
	e.campaignIfElectable(env, head)
}

// campaignIfElectable requests votes under a new token if a quorum would grant them.
func (e *election) campaignIfElectable(env *environment, head *State) {
	if !env.replicas.isMajority(len(e.preVote.voters)) || e.token != 0 || !e.vote.allows(env.name, env.now) {
		return
	}
	e.preVote = ballot{}
	e.token = e.nextToken()
	e.ballots = nil
	e.leaseUntil = 0
	e.requestVotes(env, head)
	e.nextCampaignAt = env.now + campaignTimeout
}

// maintain renews the votes of a candidate or leader, or has it step down.
func (e *election) maintain(env *environment, head *State) {
	won := e.leaseUntil != 0
	switch {
	case e.superseded():
		e.stepDown(env)
	case !won && env.now >= e.nextCampaignAt: // too few votes: lets another candidate try
		e.stepDown(env)
	case won && env.now >= e.leaseUntil+Lease: // lease lost: lets another candidate try
		e.stepDown(env)
	case env.now >= e.nextRenewalAt:
		e.requestVotes(env, head)
	}
}

// requestVotes requests votes from all peers, and votes for this replica if its own vote is free.
func (e *election) requestVotes(env *environment, head *State) {
	e.nextRenewalAt = env.now + renewInterval
	e.lastSeq++
	added := ballot{seq: e.lastSeq, sentAt: env.now, voters: map[string]bool{}}
	if e.vote.allows(env.name, env.now) {
		e.voteFor(env.name, env.now)
		added.voters[env.name] = true
	}
	e.ballots = append(e.ballots, added)
	if len(e.ballots) > maxBallots {
		e.ballots = e.ballots[1:]
	}
	env.sendToPeers(Message{Kind: VoteRequest, FencingToken: e.token, Seq: e.lastSeq, State: head})
	e.count(env, &added)
}

// count acquires or extends the lease if a quorum has voted. The lease starts when the votes were requested.
func (e *election) count(env *environment, counted *ballot) {
	if !env.replicas.isMajority(len(counted.voters)) {
		return
	}
	if e.leaseUntil == 0 {
		e.ordersFrom = env.now + withMaxDrift(Lease)
	}
	lease := time.Duration(float64(Lease) * (1 - maxClockDrift))
	e.leaseUntil = max(e.leaseUntil, counted.sentAt+lease)
}

func (e *election) voteFor(candidate string, now time.Duration) {
	e.vote = vote{candidate: candidate, until: now + withMaxDrift(Lease)}
}

// handleVoteRequest votes for one candidate at a time, and for none whose token is below the highest seen.
func (e *election) handleVoteRequest(env *environment, request *Message) {
	switch {
	case request.FencingToken >= e.highestToken && e.vote.allows(request.From, env.now):
		e.highestToken = request.FencingToken
		e.voteFor(request.From, env.now)
		e.nextCampaignAt = max(e.nextCampaignAt, env.now+e.campaignDelay(env))
		env.send(request.From, Message{Kind: VoteGranted, FencingToken: request.FencingToken, Seq: request.Seq})
	case request.FencingToken < e.highestToken:
		e.sendHighestToken(env, request.From)
	}
}

func (e *election) handlePreVoteRequest(env *environment, request *Message) {
	switch {
	case request.FencingToken <= e.highestToken:
		e.sendHighestToken(env, request.From)
	case e.vote.allows(request.From, env.now):
		env.send(request.From, Message{Kind: PreVoteGranted, FencingToken: e.highestToken, Seq: request.Seq})
	}
}

// sendHighestToken notifies a replica that its token is outdated.
func (e *election) sendHighestToken(env *environment, to string) {
	env.send(to, Message{Kind: VoteGranted, FencingToken: e.highestToken})
}

// handlePreVote counts a pre-vote and reports whether it belongs to the current ballot.
func (e *election) handlePreVote(granted *Message) bool {
	e.sawToken(granted.FencingToken)
	if granted.Seq != e.preVote.seq || e.preVote.voters == nil {
		return false
	}
	e.preVote.voters[granted.From] = true
	return true
}

// handleVote counts a vote for this candidate or leader.
func (e *election) handleVote(env *environment, granted *Message) {
	e.sawToken(granted.FencingToken)
	if e.token == 0 || granted.FencingToken != e.token {
		return
	}
	for i := range e.ballots {
		if e.ballots[i].seq == granted.Seq {
			e.ballots[i].voters[granted.From] = true
			e.count(env, &e.ballots[i])
			return
		}
	}
}

// acceptsOrder reports whether an order comes from the leader that this replica currently votes for.
func (e *election) acceptsOrder(order *Message, now time.Duration) bool {
	return order.FencingToken != 0 && order.FencingToken >= e.highestToken &&
		order.From == e.vote.candidate && now < e.vote.until
}
