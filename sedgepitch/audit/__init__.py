"""The five rules of the service, checked from recorded traffic alone. Shares nothing with the proxy."""
