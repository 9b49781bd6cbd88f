// Package assembler splits a configuration into a head, which lists the names of its parts, and parts named by a hash
// of their content, and joins them again. The caller supplies the function that fetches parts; a fetched part whose
// content does not match its name is rejected, and parts that are already known are not fetched.
package assembler
