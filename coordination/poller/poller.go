package poller

import "time"

// MinInterval is the shortest mean interval between two polls of an endpoint that answers.
const MinInterval = time.Second

// MinTriggeredInterval is the shortest interval between two polls of an endpoint when failed attempts trigger polls.
const MinTriggeredInterval = 250 * time.Millisecond

// MaxBytesPerSecond is the mean rate of bytes that an entry's polls may use while the endpoints answer.
const MaxBytesPerSecond = 4096

// BytesPerPoll is the size in bytes of a poll and its answer on the wire.
const BytesPerPoll = 242

// jitter is the width of the random range of a delay, as a share of it: 0.25 gives 12.5 % more or less.
const jitter = 0.25

// firstDelayShare is the share of the poll interval over which the first polls are spread.
const firstDelayShare = 1.0 / 16

// maxDoublings limits the exponential backoff after missed polls, so that the shift can't overflow.
const maxDoublings = 16

// Interval returns the mean interval between two polls of an endpoint that answers, for an entry that polls the given
// number of endpoints.
func Interval(endpoints int) time.Duration {
	return max(MinInterval, time.Duration(endpoints)*BytesPerPoll*time.Second/MaxBytesPerSecond)
}

// FirstDelay returns the delay before an endpoint's first poll, given the poll interval and a random number from 0 to
// 1.
func FirstDelay(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * firstDelayShare * random)
}

// SecondDelay returns the delay between an endpoint's first and second poll, given the poll interval and a random
// number from 0 to 1. The first polls come early and close together; this delay spreads later ones over the whole
// interval.
func SecondDelay(interval time.Duration, random float64) time.Duration {
	return max(MinTriggeredInterval, time.Duration(float64(interval)*random))
}

// NextDelay returns the delay before an endpoint's next poll, given the poll interval, the number of consecutive missed
// polls and a random number from 0 to 1. After the first missed poll the delay is MinInterval; it then doubles with each
// miss, up to the interval.
func NextDelay(interval time.Duration, misses int, random float64) time.Duration {
	delay := interval
	if misses > 0 {
		delay = min(interval, MinInterval<<min(misses-1, maxDoublings))
	}
	return time.Duration(float64(delay) * (1 + jitter*(random-0.5)))
}
