package validation

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 128

// NameAllowed describes the names that IsName accepts.
const NameAllowed = "1 to 128 letters, digits, '.', '_' and '-', starting with a letter or digit"

// IsName reports whether s is a valid name of an instance, a zone, a service, a shard or a server. Names appear in URL paths,
// part names and metric labels, so they contain no separators and no spaces.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !isAlphanumeric(s[0]) {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !isAlphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
}
