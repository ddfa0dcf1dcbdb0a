"""The data path of an entry: forwards callers' requests to backend servers.

An entry is the router process that callers connect to. A side is the sidecar
process of a backend server, which admits requests to it.
"""
