// Package claim is the replicated state machine that records claims of idempotency keys. An attempt may be sent to a
// back end only after its claim of the request's key is committed. A key is granted again only if the attempt that held
// it was released without having been sent. Therefore a key runs at most once, for any number of gateways, retries and
// failovers.
//
// A refusal makes the verdict "did not run" final. It is committed at a ledger index. Every attempt carries a ticket:
// the highest index that its gateway knew when the request arrived. An attempt whose ticket is below the index of the
// refusal arrived before the refusal and can never be granted. A later retry has a higher ticket and may run.
// docs/design/claims.md compares this with the alternatives; models/claims.pml is the formal model that is checked.
//
// The package does no I/O and reads no clock. Apply commands in log order from one goroutine.
package claim
