"""Discovery decisions: which watch streams to keep open and which version of the endpoint list applies."""
