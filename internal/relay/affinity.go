package relay

// ChatAffinity returns the key that placement hashes for a chat of a workspace.
func ChatAffinity(workspace, chat string) string { return workspace + "/" + chat }
