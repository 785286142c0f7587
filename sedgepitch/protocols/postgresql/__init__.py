"""Version 3 of the PostgreSQL wire protocol, simple queries only: client side and upstream side."""
