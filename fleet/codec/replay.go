package codec

import (
	"cmp"
	"slices"
)

const (
	// maxSenders bounds the senders with windows. Beyond it all windows are dropped, and frames received
	// before may be accepted once more.
	maxSenders = 16384

	// windowsPerSender bounds the epochs of a sender that have a window. The latest epochs keep theirs: an earlier
	// process may run on together with its replacement.
	windowsPerSender = 4

	bitsPerWord = 64
	windowWords = 4
	windowSpan  = windowWords * bitsPerWord // numbers
)

// replayFilter detects replayed frames by their sender, epoch and number.
type replayFilter struct {
	windows map[string][]*replayWindow // by sender, later epochs first
}

// firstUse marks a number of a sender's epoch as used, and reports whether it was unused before.
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
		return true // of a process replaced several times: package membership detects it and rarely answers
	}
	window := &replayWindow{epoch: epoch}
	known = slices.Insert(known, index, window)
	f.windows[sender] = known[:min(len(known), windowsPerSender)]
	return window.firstUse(number)
}

// replayWindow records the used numbers of one epoch of a sender. Numbers older than its
// span count as used.
type replayWindow struct {
	epoch   uint64
	highest uint64
	used    [windowWords]uint64 // one bit per number of the span ending at highest, at the number modulo the span
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

// position returns the word index and the bit mask of a number in a window.
func position(number uint64) (word int, bit uint64) {
	return int(number % windowSpan / bitsPerWord), 1 << (number % bitsPerWord)
}
