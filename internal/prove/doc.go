// Package prove holds the proofs of what the fleet promises. Each proof starts
// the built programs as separate processes on loopback, brings about faults
// while callers use them, and judges what the callers and the upstreams saw.
//
// The proofs are tests: `make prove` runs all of them, and a plain test run a
// short subset. The environment variable VERBENATRAIL_PROVE=all selects all.
package prove
