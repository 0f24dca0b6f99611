"""The entry host, which forwards requests to the upstreams of all zones."""
