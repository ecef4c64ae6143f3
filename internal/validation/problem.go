package validation

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kind classifies a problem.
type Kind string

// The kinds of problems.
const (
	KindSyntax       Kind = "syntax"
	KindUnknownField Kind = "unknown_field"
	KindWrongType    Kind = "wrong_type"
	KindMissing      Kind = "missing"
	KindMalformed    Kind = "malformed"
	KindDuplicate    Kind = "duplicate"
	KindReference    Kind = "dangling_reference"
	KindRange        Kind = "out_of_range"
	KindOverlap      Kind = "overlap"
	KindGap          Kind = "gap"
)

// Problem is one error in an operator's input.
type Problem struct {
	// File is empty for values that were not read from a file.
	File string `json:"file,omitempty"`
	// Line starts at 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Field is a path such as services[0].shards[2].key_to; empty for the whole document.
	Field  string `json:"field,omitempty"`
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
	// Allowed describes the values that are accepted.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the problem on one line, as file:line: field: detail (allowed: ...).
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			b.WriteString(strconv.Itoa(p.Line) + ":")
		}
		b.WriteByte(' ')
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Detail)
	if p.Allowed != "" {
		b.WriteString(" (allowed: " + p.Allowed + ")")
	}
	return b.String()
}

// Problems are all errors of one input, in document order where it is known. Only a non-empty list is an error; see Err.
type Problems []Problem

// Error formats the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// FromError returns the Problems in the tree of err, or nil if there are none.
func FromError(err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return nil
}

// Add appends a problem with a field. The detail is formatted from format and args.
func (ps *Problems) Add(kind Kind, field, allowed, format string, args ...any) {
	*ps = append(*ps, Problem{Field: field, Kind: kind, Allowed: allowed, Detail: fmt.Sprintf(format, args...)})
}

// Combine returns the problems of decoding a document and those of the decoded values, in the order of lines. It leaves out the
// problems of values that could not be decoded, since these values are meaningless.
func Combine(decoding, values Problems) Problems {
	undecoded := map[string]bool{}
	for _, p := range decoding {
		if p.Kind == KindSyntax || p.Field == "" {
			return decoding
		}
		undecoded[p.Field] = true
	}
	values = slices.DeleteFunc(values, func(p Problem) bool { return undecoded[p.Field] })
	all := append(decoding, values...)
	slices.SortStableFunc(all, func(a, b Problem) int { return a.Line - b.Line })
	return all
}

// Number is the type of a value that CheckRange can check.
type Number interface{ ~int | ~uint64 | ~float64 }

// CheckRange adds a problem unless low <= value <= high. A NaN is out of every range.
func CheckRange[N Number](ps *Problems, field string, value, low, high N) {
	if value >= low && value <= high {
		return
	}
	ps.Add(KindRange, field, fmt.Sprintf("%v to %v", low, high), "is %v", value)
}
