"""Discovery decisions: which watch streams to hold and which version of the endpoint list applies."""
