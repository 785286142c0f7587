"""The five rules, checked from what members and clients recorded. Shares nothing with the driver."""
