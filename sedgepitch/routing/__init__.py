"""Routing of requests to endpoints: a pure state machine, fed with events and answering with actions."""
