// Package budget decides whether an extra attempt (a hedge or a retry) may be sent, as a ratio of the sub-requests in
// a sliding window, and after how long a hedge is worth sending.
package budget
