package relay

// ChatAffinityKey returns the key that placement hashes to rank engines for a
// chat of a workspace.
func ChatAffinityKey(workspace, chat string) string { return workspace + "/" + chat }
