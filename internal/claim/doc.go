// Package claim is the replicated record of non-repeatable requests. An attempt may be sent to a back end
// only after its claim of the request's idempotency key is committed, and a key is granted again only when
// the attempt that held it was given up without having been sent. So a key runs at most once, through any
// number of gateways, retries and failovers.
//
// "Did not run" is made final by a refusal: it is committed at a ledger index, and every attempt carries a
// ticket, the highest index its gateway knew when the request arrived. An attempt whose ticket is below the
// refusal arrived before it and can never be granted; a later retry has a higher ticket and may run.
// docs/design/claims.md weighs this against other ways; models/claims.pml is the checked model.
//
// The package is pure. Apply commands in log order from one goroutine.
package claim
