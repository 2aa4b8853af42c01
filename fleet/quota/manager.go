// Package quota divides limits among the replicas of a fleet so that all of them together never spend more than the
// whole, even if messages between them are lost, repeated, reordered or late. It does no I/O and reads no clock: the
// host passes in events with their time, and sends the messages that are returned.
//
// A rate limit (a tenant's quota, the retry budget) is divided into equal guaranteed shares, one for each replica that
// may be alive. A replica lends what it doesn't need under a lease. The lender's debit starts when it decides and ends
// by its own clock, extended by the greatest clock drift; the borrower's credit counts from when it sent the request.
// The credit therefore ends before the debit does, however long the messages took and without synchronised clocks. A
// lost, duplicated or late message can only make a replica spend less.
//
// An amount limit (the total that may be sent to a warming endpoint) is transferred permanently: the lender counts a
// grant as spent even if it does not arrive.
package quota

import (
	"math"
	"slices"
	"time"

	"ryerill/internal/seedrand"
)

// Parameters of lending.
const (
	// Lease is how long a loan counts as a debit for its lender, by the lender's clock without allowance for drift.
	Lease = 4 * time.Second
	// MaxClockDrift is the greatest fraction by which a replica's clock runs fast or slow.
	MaxClockDrift = 0.02
	// MaxLentFraction is the greatest fraction of its guaranteed share that a replica lends.
	MaxLentFraction = 0.97

	renewAfterFraction = 0.5 // of a lease, after which the borrower requests renewal
	requestInterval    = 50 * time.Millisecond
	requestTimeout     = 500 * time.Millisecond
	maxPendingRequests = 16   // at once, for each limit
	demandHeadroom     = 1.15 // factor on the measured demand that a replica keeps or requests, as demand varies
	maxLoans           = 4096 // lent, and borrowed, for each limit
	maxAnswers         = 4096 // answers kept for duplicate requests
	maxDelisted        = 1024 // removed limits with outstanding loans that are kept
	minLoanFraction    = 0.02 // of a guaranteed share: smaller loans don't justify a message
	maxUnits           = 1e12 // in one message or one record of demand
	rateTolerance      = 1e-9 // for rounding errors in comparisons of rates
)

// Kind says whether a limit bounds a rate or a total.
type Kind uint8

// The kinds of limit.
const (
	Rate   Kind = iota // units per second
	Amount             // units in total
)

// Limit is a limit that the replicas share.
type Limit struct {
	Name  string
	Kind  Kind
	Total float64 // of all replicas: units per second for Rate, units for Amount
}

// Manager is the lender and borrower of one replica. It is not safe for concurrent use.
type Manager struct {
	name      string
	epoch     uint64 // of this process
	random    seedrand.Source
	now       time.Duration
	startedAt time.Duration
	restarted bool // without its state: earlier loans are unknown

	replicaCount int // number of guaranteed shares; 0 while this replica has none
	peers        []string

	accounts map[string]*account
	order    []string            // names of the accounts, sorted
	firstAt  int                 // index in order of the account that borrows first at the next tick
	delisted map[string]*account // of removed limits, until their loans expire

	lastSeq uint64 // of the latest request that this process sent
	answers answerLog
	actions []Action

	budget byteBudget

	// Stats count messages since the start.
	Stats Stats
}

// New returns the manager of a replica. seed determines the random choice of lenders. A replica that restarted without
// its loans withholds the most that it may have lent, until every earlier loan has expired.
func New(name string, epoch, seed uint64, restarted bool, now time.Duration) *Manager {
	return &Manager{
		name:      name,
		epoch:     epoch,
		random:    seedrand.Source(seed),
		restarted: restarted,
		startedAt: now,
		now:       now,
		accounts:  map[string]*account{},
		delisted:  map[string]*account{},
	}
}

// SetByteBudget limits the average bytes per second of messages; 0 is no limit. Requests and answers beyond the budget
// are not sent: a loan that can't be renewed in time expires, and its lender debits it until the lease is over.
func (m *Manager) SetByteBudget(now time.Duration, bytesPerSecond float64) {
	m.advance(now)
	m.budget = newByteBudget(bytesPerSecond, m.now)
}

// SetLimits replaces the list of limits. Limits without a positive, finite total are ignored. A limit that is new or
// changes its kind starts with an empty account, but its loans to others stay debited until their leases end, as the
// borrower may not have noticed the change.
func (m *Manager) SetLimits(now time.Duration, limits []Limit) {
	m.advance(now)
	m.order = m.order[:0]
	for _, limit := range limits {
		if !(limit.Total > 0) || math.IsInf(limit.Total, 0) {
			continue
		}
		m.order = append(m.order, limit.Name)
		existing := m.accounts[limit.Name]
		if existing != nil && existing.Kind == limit.Kind {
			existing.Total = limit.Total
			continue
		}
		if existing == nil {
			existing = m.delisted[limit.Name]
			delete(m.delisted, limit.Name)
		}
		created := newAccount(limit, m.now)
		if existing != nil {
			created.lent = existing.lent
		}
		m.accounts[limit.Name] = created
	}
	slices.Sort(m.order)
	for name, account := range m.accounts {
		if _, listed := slices.BinarySearch(m.order, name); !listed {
			delete(m.accounts, name)
			m.delist(account)
		}
	}
}

// delist keeps the loans of a removed limit. If too many are kept already, the replica withholds as much as after a
// restart.
func (m *Manager) delist(account *account) {
	switch {
	case account.debit(m.now) == 0:
	case len(m.delisted) < maxDelisted:
		m.delisted[account.Name] = account
	default:
		m.restarted = true
		m.startedAt = m.now
	}
}

// expireDelisted drops removed limits whose last loan has expired.
func (m *Manager) expireDelisted() {
	for name, account := range m.delisted {
		account.expire(m.now)
		if len(account.lent) == 0 {
			delete(m.delisted, name)
		}
	}
}

// SetReplicaCount sets the number of replicas by which limits are divided, 0 while this replica has no share, and the
// peers that can be asked for loans.
func (m *Manager) SetReplicaCount(now time.Duration, replicaCount int, peers []string) {
	m.advance(now)
	for _, name := range m.order {
		account := m.accounts[name]
		if account.Kind != Amount || account.assigned {
			continue
		}
		switch {
		case m.restarted:
			account.assign(0) // it may have spent its share before the restart
		case replicaCount > 0:
			account.assign(account.Total / float64(replicaCount))
		}
	}
	m.replicaCount = replicaCount
	m.peers = peers
}

// FitsWithin reports whether this replica's loans to others fit into its share if limits are divided by replicaCount.
// Only then may other replicas rely on that smaller share.
func (m *Manager) FitsWithin(now time.Duration, replicaCount int) bool {
	m.advance(now)
	for _, name := range m.order {
		account := m.accounts[name]
		share := account.Total / float64(max(replicaCount, 1))
		if account.Kind == Rate && m.lent(account) > share+rateTolerance {
			return false
		}
	}
	for _, account := range m.delisted { // other replicas may still list them
		share := account.Total / float64(max(replicaCount, 1))
		if account.debit(m.now) > share+rateTolerance {
			return false
		}
	}
	return true
}

// Rate returns the units per second of a rate limit that this replica may spend: its share, less loans to others, plus
// loans from others.
func (m *Manager) Rate(now time.Duration, name string) float64 {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || account.Kind != Rate {
		return 0
	}
	return m.spendableRate(account)
}

// AddDemand records units that were requested, granted or not. Demand decides which replicas lend and which borrow.
func (m *Manager) AddDemand(now time.Duration, name string, units float64) {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || units <= 0 || !(units < maxUnits) {
		return
	}
	account.demand.add(m.now, units)
}

// Spend takes units of an amount limit, all or none, and reports whether it took them.
func (m *Manager) Spend(now time.Duration, name string, units float64) bool {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || account.Kind != Amount {
		return false
	}
	return account.spend(units)
}

// Left returns the units of an amount limit that this replica may still spend.
func (m *Manager) Left(name string) float64 {
	account := m.accounts[name]
	if account == nil || account.Kind != Amount {
		return 0
	}
	return account.balance
}

// Tick expires loans. It appends to out requests for new loans, renewals of loans that expire soon and returns of loans
// that are not needed.
func (m *Manager) Tick(now time.Duration, out []Action) []Action {
	m.advance(now)
	m.actions = out
	for _, name := range m.order {
		m.accounts[name].expire(m.now)
	}
	if m.replicaCount > 0 && len(m.peers) > 0 {
		m.borrow()
	}
	m.expireDelisted()
	m.answers.expire(m.now)
	return m.takeActions()
}

// Handle processes a message from a peer and appends the answer, if any, to out.
func (m *Manager) Handle(now time.Duration, from string, message Message, out []Action) []Action {
	m.advance(now)
	m.actions = out
	switch {
	case !message.valid(from) || m.accounts[message.Quota] == nil:
		m.Stats.Invalid++
	case message.Grant:
		m.handleGrant(&message)
	case message.Return:
		m.accounts[message.Quota].removeLent(message.Request)
	default:
		m.handleRequest(&message)
	}
	return m.takeActions()
}

func (m *Manager) advance(now time.Duration) { m.now = max(m.now, now) }

func (m *Manager) send(to string, message Message) {
	m.actions = append(m.actions, Action{To: to, Message: message})
}

func (m *Manager) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// guaranteed returns this replica's own share of a rate limit.
func (m *Manager) guaranteed(account *account) float64 {
	if m.replicaCount <= 0 {
		return 0
	}
	return account.Total / float64(m.replicaCount)
}

// lent returns what this replica has lent of a rate limit, or the most that it may have lent before a restart.
func (m *Manager) lent(account *account) float64 {
	sum := account.debit(m.now)
	if m.restarted && m.now-m.startedAt < withMaxDrift(Lease) {
		sum = max(sum, MaxLentFraction*m.guaranteed(account))
	}
	return sum
}

func (m *Manager) spendableRate(account *account) float64 {
	return max(m.guaranteed(account)-m.lent(account), 0) + account.credit(m.now)
}
