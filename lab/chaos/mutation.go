package chaos

// Mutation is a fault that is planted in the code between the packages of a replica, to
// check that chaos runs find it. The empty one plants none.
type Mutation string

// The mutations.
const (
	restartedLend     Mutation = "restarted replicas lend at once"
	unconfirmedSpend  Mutation = "unconfirmed replicas spend"
	divideAmongAlive  Mutation = "the quota is divided among the replicas that are alive"
	roundGrantsUp     Mutation = "grants are rounded up"
	startingIsReady   Mutation = "starting counts as ready"
	forgetUnreachable Mutation = "a rollout has the alive replicas only"
	anonymousVotes    Mutation = "votes lose their sender"
	acceptCorrupt     Mutation = "corrupted frames are accepted"
	leaveAtOnce       Mutation = "a leaving replica does not wait for its loans"
	rollBackNothing   Mutation = "a rollback changes nothing"
)

// Mutations are all mutations.
var Mutations = []Mutation{
	restartedLend, unconfirmedSpend, divideAmongAlive, roundGrantsUp, startingIsReady, forgetUnreachable,
	anonymousVotes, acceptCorrupt, leaveAtOnce, rollBackNothing,
}
