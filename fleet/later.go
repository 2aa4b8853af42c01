//go:build !fleetlater

package fleet

import "ryerill/fleet/membership"

// laterKind is a kind of message that Level 1 does not know; 0 is that this build
// sends none.
const laterKind membership.MessageKind = 0
