"""Decide, for a proxy in front of a primary and its replicas, where each request goes."""

from sedgepitch.policy import Router

__all__ = ["Router"]
