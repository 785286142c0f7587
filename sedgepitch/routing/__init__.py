"""Routing of requests to endpoints: a pure state machine that consumes events and returns actions."""
