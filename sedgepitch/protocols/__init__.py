"""Client protocols. A front turns bytes into commands and outcomes into bytes; it knows nothing of health."""
