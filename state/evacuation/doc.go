// Package evacuation provides immutable values for the data centres whose runners must get no requests, because operators
// drain them. Telling callers, other entries and traffic about them is left to the callers.
package evacuation
