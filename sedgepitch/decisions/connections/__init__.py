"""Connection decisions: which client connections to keep, the descriptor budget, graceful shutdown."""
