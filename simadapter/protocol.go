// Package simadapter speaks mesa-2a65, the protocol of the simulator: it reads batches of events for the balancers of
// one process and writes a reply to each with their actions. It decides nothing.
//
// All numbers are little-endian. A batch is a frame: its length without itself (4 bytes), the clock in microseconds
// (8), the number of records (4), the number of the batch (4), and the records. A record is a code (1), an instance (2)
// and the fields of its code. A reply is the number of its records (4), the length of what follows (4), the number of
// the batch that it answers (4), and its records.
package simadapter

import "time"

// Codes of the records that are received, with the protocol's names for them.
const (
	codeInstanceStarted = 16 // INIT
	codeEndpointList    = 17 // TARGETS
	codeRequestArrived  = 18 // KNOCK
	codeStreamStarted   = 19 // BEGUN
	codeAttemptEnded    = 20 // ATTEMPT_END
	codeClientLeft      = 21 // DROPPED
	codeTimerFired      = 22 // TIMER
	codeProbeEnded      = 23 // STATUS_BACK
	codePeerMessage     = 24 // HEARD
	codeInstanceStopped = 25 // STOP
	codeDefineList      = 26 // DEFINE_LIST: a list that later records of TARGETS name by its number
)

// Codes of the records that are sent, with the protocol's names for them.
const (
	codeProbe            = 80 // PING
	codeFail             = 81 // RESPOND_ERROR
	codeSend             = 82 // ROUTE
	codeSendToPeer       = 83 // MEMO_TO
	codeCloseIdle        = 84 // SHUT_IDLE
	codeSetTimer         = 85 // REMIND
	codeInstancePanicked = 86 // BAIL_OUT
	codeSubscribe        = 87 // STREAM_CHANGES
	codeShed             = 88 // SAY_NO
	codeCancel           = 89 // WITHDRAW
	codeLog              = 90 // LOG
	codeFetchEndpoints   = 91 // REFRESH
)

// Bits of an arrived request's flags.
const (
	flagExpectedWork = 1 << iota // the expected work is known
	flagClientRetry
	flagWrite
)

// Sizes in bytes, and bounds of the protocol.
const (
	batchHeaderSize = 16 // after the length
	replyHeaderSize = 12
	lengthSize      = 4
	listEntrySize   = 23
	maxLists        = 16
	maxPeerMessage  = 256
	maxTimer        = 71 * time.Minute
)
