"""The entry host that forwards requests to the upstreams of all zones."""
