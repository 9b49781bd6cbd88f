package examples

import "embed"

// Files holds the service and account files below ikirango and derwent.
//
//go:embed ikirango derwent
var Files embed.FS
