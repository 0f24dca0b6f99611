"""Global traffic steering between callers and upstreams."""
