"""Local state of an entry host: configuration, evacuations, upstreams."""
