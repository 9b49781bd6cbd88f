package batcher_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/batcher"
)

// drain steps the batcher until it is idle and returns the times of each request's first and last token.
func drain(b *batcher.Batcher) (first, last map[uint64]time.Duration) {
	first, last = map[uint64]time.Duration{}, map[uint64]time.Duration{}
	for {
		now, busy := b.StepEnd()
		if !busy {
			return first, last
		}
		for _, token := range b.Step() {
			if token.Index == 1 {
				first[token.Request] = now
			}
			if token.Last {
				last[token.Request] = now
			}
		}
	}
}

func TestCachedPrefixAnswersSooner(t *testing.T) {
	b := batcher.New()
	b.Enqueue(batcher.Request{ID: 1, Prefix: 7, PrefixTokens: 4000, SuffixTokens: 10, OutputTokens: 3}, 0)
	first, last := drain(b)
	cold := first[1]
	b.Enqueue(batcher.Request{ID: 2, Prefix: 7, PrefixTokens: 4000, SuffixTokens: 10, OutputTokens: 3}, last[1])
	first, _ = drain(b)
	if warm := first[2] - last[1]; warm*2 > cold {
		t.Errorf("time to first token %v with the prefix cached, %v without; want at most half", warm, cold)
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	b := batcher.New(batcher.Slots(1))
	b.Enqueue(batcher.Request{ID: 1, SuffixTokens: 10, OutputTokens: 5}, 0)
	b.Enqueue(batcher.Request{ID: 2, SuffixTokens: 10, OutputTokens: 5}, 0)
	b.Enqueue(batcher.Request{ID: 3, SuffixTokens: 10, OutputTokens: 5, Priority: 1}, 0)
	first, _ := drain(b)
	if first[3] > first[2] {
		t.Error("the request of higher priority got its first token later")
	}
}

func TestMemoryIsLimited(t *testing.T) {
	b := batcher.New(batcher.Memory(5000))
	for prefix := range uint64(3) {
		b.Enqueue(batcher.Request{ID: prefix, Prefix: prefix, PrefixTokens: 2000, SuffixTokens: 100, OutputTokens: 100}, 0)
		drain(b)
	}
	if b.HasPrefix(0) || !b.HasPrefix(1) || !b.HasPrefix(2) {
		t.Errorf("cached prefixes %v, want the two most recently used", b.CachedPrefixes())
	}
}
