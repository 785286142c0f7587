"""Helpers shared by the test files: emulators, fault injection, fixtures' parts."""
