// Package ranker lets the process that leads a rank group reach the ranks through the processes beside them;
// it passes reports and orders on and decides about none.
package ranker
