"""Checks the five service rules from recorded traffic only. Shares no code with the proxy."""
