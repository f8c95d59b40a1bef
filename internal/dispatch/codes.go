package dispatch

// The error codes in Outcome.Code. Clients rely on them, so they must not change.
const (
	CodeDeadline          = "deadline_passed"
	CodeNoBackend         = "no_backend"
	CodeLeaseLapsed       = "lease_lapsed"
	CodeBackendRefused    = "backend_refused"
	CodeBackendLost       = "backend_lost"
	CodeLedgerUnavailable = "ledger_unavailable"
	CodeKeyReused         = "key_reused_with_other_body"
	CodeOutcomeUnknown    = "outcome_unknown"
	CodeAnswerExpired     = "answer_no_longer_held"
	CodeRefusedEarlier    = "refused_earlier"
	CodeSuspected         = "back_ends_crashed"
)
