//go:build fleetlater

package fleet

import "ryerill/fleet/member"

// laterKind plays a kind of message that a later program brings.
const laterKind member.MessageKind = 200
