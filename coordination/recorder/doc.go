// Package recorder records the frames of one answer while it is produced. Any number of readers can follow the answer
// from any offset, as every recorded frame is kept for the lifetime of the Recorder.
package recorder
