"""What an entry host believes: configuration, evacuations, upstreams."""
