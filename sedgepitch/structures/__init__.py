"""Bounded data structures without clocks of their own: a timing wheel and a sketch of recent usage."""
