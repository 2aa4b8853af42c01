package codec

import (
	"cmp"
	"slices"
)

const (
	// maxSenders bounds the windows that are kept; beyond it all are dropped, and what was received before
	// may count once more.
	maxSenders = 16384

	// windowsPerSender bounds the epochs of a sender that have a window, the latest ones: an earlier process may run
	// beside the one that replaces it.
	windowsPerSender = 4

	bitsPerWord = 64
	windowWords = 4
	windowSpan  = windowWords * bitsPerWord // numbers
)

// replayFilter distinguishes frames that were received before from new ones, by sender.
type replayFilter struct {
	windows map[string][]*replayWindow // of a sender, those of later epochs first
}

// firstUse reports whether a number of a sender's epoch was not used before, and takes
// note that it is now.
func (f *replayFilter) firstUse(sender string, epoch, number uint64) bool {
	known := f.windows[sender]
	if known == nil && len(f.windows) >= maxSenders {
		clear(f.windows)
	}
	index, found := slices.BinarySearchFunc(known, epoch, func(w *replayWindow, epoch uint64) int {
		return cmp.Compare(epoch, w.epoch)
	})
	if found {
		return known[index].firstUse(number)
	}
	if index >= windowsPerSender {
		return true // of a process that several have replaced: membership finds that out, and seldom answers it
	}
	window := &replayWindow{epoch: epoch}
	known = slices.Insert(known, index, window)
	f.windows[sender] = known[:min(len(known), windowsPerSender)]
	return window.firstUse(number)
}

// replayWindow holds which numbers of one epoch of a sender were used. Those that are
// older than its span count as used.
type replayWindow struct {
	epoch   uint64
	highest uint64
	used    [windowWords]uint64 // a bit for each number of the span up to highest, at the number modulo the span
}

func (w *replayWindow) firstUse(number uint64) bool {
	switch {
	case number >= w.highest+windowSpan:
		w.used = [windowWords]uint64{}
		w.highest = number
	case number > w.highest:
		for w.highest < number {
			w.highest++
			word, bit := position(w.highest)
			w.used[word] &^= bit
		}
	case w.highest-number >= windowSpan:
		return false
	}
	word, bit := position(number)
	if w.used[word]&bit != 0 {
		return false
	}
	w.used[word] |= bit
	return true
}

// position returns the word and the bit of a number in a window.
func position(number uint64) (word int, bit uint64) {
	return int(number % windowSpan / bitsPerWord), 1 << (number % bitsPerWord)
}
