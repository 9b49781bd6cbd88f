package catalog

import "reflect"

// Diff returns one line for each service, account and drain that differs between two versions, for the audit trail.
func Diff(from, to Catalog) []string {
	lines := diff("service", from.Services(), to.Services(), Service.Name, from.Service, to.Service)
	lines = append(lines, diff("account", from.Accounts(), to.Accounts(), Account.Name, from.Account, to.Account)...)
	identity := func(name string) string { return name }
	in := func(c Catalog) func(string) (string, bool) {
		return func(name string) (string, bool) { return name, c.IsDrained(name) }
	}
	return append(lines, diff("drain of", from.Drained(), to.Drained(), identity, in(from), in(to))...)
}

func diff[T any](kind string, from, to []T, name func(T) string, inFrom, inTo func(string) (T, bool)) []string {
	var lines []string
	for _, after := range to {
		before, existed := inFrom(name(after))
		switch {
		case !existed:
			lines = append(lines, kind+" "+name(after)+" added")
		case !reflect.DeepEqual(before, after):
			lines = append(lines, kind+" "+name(after)+" changed")
		}
	}
	for _, before := range from {
		if _, exists := inTo(name(before)); !exists {
			lines = append(lines, kind+" "+name(before)+" removed")
		}
	}
	return lines
}
