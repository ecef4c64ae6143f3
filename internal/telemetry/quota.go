package telemetry

// QuotaOutcome is what became of tokens of workspaces with a quota.
type QuotaOutcome string

// The outcomes of tokens.
const (
	// QuotaGranted, QuotaRefused and QuotaUnavailable count the requests that this daemon received from callers.
	QuotaGranted     QuotaOutcome = "granted"
	QuotaRefused     QuotaOutcome = "refused"
	QuotaUnavailable QuotaOutcome = "unavailable"
	// QuotaReturned counts tokens of requests that were not run.
	QuotaReturned QuotaOutcome = "returned"
)

// QuotaTokens counts n tokens by what became of them.
func (m *Metrics) QuotaTokens(outcome QuotaOutcome, n int) {
	if m != nil && n > 0 {
		m.quotaTokens.with(outcome).Inc(int64(n))
	}
}
