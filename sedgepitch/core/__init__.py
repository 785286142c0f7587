"""The way of a request through the proxy: engine, request table and connection pools.

The core knows no protocol and decides no route.
"""
