package rank

// Load is how busy a rank is and how far its group is, as the process beside it last heard.
type Load struct {
	// Open is the number of requests that the rank executes, has queued, or is about to get.
	Open int
	// Epoch, Step and GroupOpen are those of the rank's last report.
	Epoch, Step uint64
	GroupOpen   bool
}
