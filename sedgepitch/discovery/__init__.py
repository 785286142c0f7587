"""Where the list of members comes from."""
