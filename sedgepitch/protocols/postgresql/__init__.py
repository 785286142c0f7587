"""The platform's protocol: version 3 of PostgreSQL's wire, simple queries only, both ends."""
