"""What owes each request its one answer: engine, ledger and pools. Knows no protocol and decides no route."""
