package rank

import "time"

// Load is how busy a rank is and how far its group is, as the process beside it last heard.
type Load struct {
	// Open is the number of requests that the rank executes, has queued, or is about to get.
	Open int
	// Epoch, Step and GroupOpen are those of the rank's last report.
	Epoch, Step uint64
	GroupOpen   bool
	// Cold is how long the rank stays cold, 0 if it is warm, and Recent the number of requests that were announced to it within
	// the last second; both are 0 where the load of cold ranks is not limited.
	Cold   time.Duration
	Recent int
}
