"""Request processing of the proxy: the engine, the request table and the connection pools.

The core is independent of the wire protocols and makes no routing decisions.
"""
