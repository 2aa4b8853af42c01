package codec

import "errors"

// The faults of a frame. Their texts are keys of statistics that other programs read, and
// must not change.
var (
	ErrVersion        = errors.New("of another version")
	ErrFleet          = errors.New("of another fleet")
	ErrKey            = errors.New("by a key that is not known")
	ErrAuthentication = errors.New("its code does not fit")
	ErrMalformed      = errors.New("torn")
	ErrLarge          = errors.New("too large")
	ErrReplayed       = errors.New("seen before")
)

// Errors holds all faults of a frame, in the order in which statistics list them.
var Errors = []error{ErrVersion, ErrFleet, ErrKey, ErrAuthentication, ErrMalformed, ErrLarge, ErrReplayed}
