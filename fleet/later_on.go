//go:build fleetlater

package fleet

import "ryerill/fleet/membership"

// laterKind plays a kind of message that a later program brings.
const laterKind membership.MessageKind = 200
