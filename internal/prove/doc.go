// Package prove tests the fleet's guarantees end to end; docs/PROOFS.md lists
// them as numbered promises. Each test, called a proof, starts the built programs
// as separate processes on loopback, injects faults while callers send requests,
// and checks what the callers and the upstreams saw.
//
// `make prove` runs all proofs, and a plain test run only a short subset. The
// environment variable VERBENATRAIL_PROVE=all selects all.
package prove
