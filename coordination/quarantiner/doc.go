// Package quarantiner decides which parts of prompts are kept from runners because they may crash them, and when a request
// with such a part is tried again, one at a time. It performs no I/O.
package quarantiner
