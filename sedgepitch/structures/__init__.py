"""Bounded data structures without clocks: a timing wheel and a sketch of recent usage."""
