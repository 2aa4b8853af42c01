// Package quota divides limits among the replicas of a fleet so that all of them together never spend more than the
// whole, whichever messages between them are lost, repeated, reordered or late. It is pure: an event and its time go
// in, actions for the host come out.
//
// A rate limit (a tenant's quota, the retry budget) is divided into equal guaranteed shares, one for each replica that
// may be alive. What a replica doesn't need it lends under a lease. The lender's debit starts when it decides and ends
// by its own clock, extended by the greatest clock drift; the borrower's credit counts from when it sent the request.
// The credit therefore ends before the debit does, however long the messages took and without synchronised clocks. A
// lost, duplicated or late message can only make a replica spend less.
//
// An amount limit (how much a warming endpoint may be sent in all) is transferred permanently: what is granted counts
// as spent by the lender whether the grant arrives or not.
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

	renewAfterFraction = 0.5 // of a lease, after which the borrower asks for renewal
	requestInterval    = 50 * time.Millisecond
	requestTimeout     = 500 * time.Millisecond
	maxPendingRequests = 16   // at once, for each limit
	demandHeadroom     = 1.15 // factor on the measured demand that a replica keeps or asks for, as demand moves
	maxLoans           = 4096 // lent, and borrowed, for each limit
	maxAnswers         = 4096 // requests whose answers are kept
	maxDelisted        = 1024 // limits that are not listed any more and of which something is lent
	minLoanFraction    = 0.02 // of a guaranteed share: less isn't worth a message
	maxUnits           = 1e12 // that one message or observation may name
	rateTolerance      = 1e-9 // for rounding, in comparisons of rates
)

// Kind is how a limit is spent.
type Kind uint8

// The kinds of limit.
const (
	Rate   Kind = iota // units a second
	Amount             // units in all
)

// Limit is one that the replicas share.
type Limit struct {
	Name  string
	Kind  Kind
	Total float64 // of all replicas: units a second, or units
}

// Manager is one replica's side of lending. It is not safe for concurrent use.
type Manager struct {
	name      string
	epoch     uint64 // of this process
	random    seedrand.Source
	now       time.Duration
	startedAt time.Duration
	restarted bool // without its state: what it had lent is unknown

	replicaCount int // that the limits are divided by; 0 while this replica has no share
	peers        []string

	accounts map[string]*account
	order    []string            // names of the accounts, sorted
	firstAt  int                 // index in order of the account that borrows first at the next tick
	delisted map[string]*account // of limits that are not listed any more, until their loans end

	lastSeq uint64 // of the requests that this process sent
	answers answerLog
	actions []Action

	budget byteBudget

	// Stats count messages since the start.
	Stats Stats
}

// New returns a replica's side. seed determines which peers are asked first. A replica that restarted without knowing
// what it had lent withholds as much as it may have lent, until any such loan has expired.
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

// SetByteBudget limits the bytes a second of messages, on average; 0 is no limit. What can't be sent within it is not
// requested or not answered: a loan that can't be renewed in time ends, and is debited until its lease is over.
func (m *Manager) SetByteBudget(now time.Duration, bytesPerSecond float64) {
	m.advance(now)
	m.budget = newByteBudget(bytesPerSecond, m.now)
}

// SetLimits states which limits there are. Those without a positive, finite total are ignored. One whose kind changes,
// or that was not listed before, begins anew, but what has been lent of it stays lent until the leases end: the
// borrower may not have noticed.
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

// delist keeps what has been lent of a limit that is not listed any more. If there is no room for it the replica
// withholds as much as one that has restarted.
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

// expireDelisted drops what was kept of limits whose last loan has ended.
func (m *Manager) expireDelisted() {
	for name, account := range m.delisted {
		account.expire(m.now)
		if len(account.lent) == 0 {
			delete(m.delisted, name)
		}
	}
}

// SetReplicaCount states by how many replicas the limits are divided, 0 while this one has no share, and which peers
// can be asked for loans.
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

// FitsWithin reports whether what this replica has lent fits into its share of a division by replicaCount. Only then
// may others rely on its share being that small.
func (m *Manager) FitsWithin(now time.Duration, replicaCount int) bool {
	m.advance(now)
	for _, name := range m.order {
		account := m.accounts[name]
		share := account.Total / float64(max(replicaCount, 1))
		if account.Kind == Rate && m.lent(account) > share+rateTolerance {
			return false
		}
	}
	for _, account := range m.delisted { // others may still list them
		share := account.Total / float64(max(replicaCount, 1))
		if account.debit(m.now) > share+rateTolerance {
			return false
		}
	}
	return true
}

// Rate is what this replica may spend a second of a rate limit: its share, less what it has lent, and what it has
// borrowed.
func (m *Manager) Rate(now time.Duration, name string) float64 {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || account.Kind != Rate {
		return 0
	}
	return m.spendableRate(account)
}

// AddDemand records units that were wanted, whether they were granted or not. Demand decides who lends and who borrows.
func (m *Manager) AddDemand(now time.Duration, name string, units float64) {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || units <= 0 || !(units < maxUnits) {
		return
	}
	account.demand.add(m.now, units)
}

// Spend takes units of an amount limit, all or none, and reports whether it did.
func (m *Manager) Spend(now time.Duration, name string, units float64) bool {
	m.advance(now)
	account := m.accounts[name]
	if account == nil || account.Kind != Amount {
		return false
	}
	return account.spend(units)
}

// Left is what this replica may still spend of an amount limit.
func (m *Manager) Left(name string) float64 {
	account := m.accounts[name]
	if account == nil || account.Kind != Amount {
		return 0
	}
	return account.balance
}

// Tick expires loans and returns requests for missing units, renewals of loans that end soon and returns of loans that
// aren't needed, appended to out.
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

// Handle processes a message from a peer and returns the answer, if there is one, appended to out.
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

// guaranteed is this replica's own share of a rate limit.
func (m *Manager) guaranteed(account *account) float64 {
	if m.replicaCount <= 0 {
		return 0
	}
	return account.Total / float64(m.replicaCount)
}

// lent is what this replica has lent of a rate limit, or may have lent before it restarted.
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
