"""Components that exist once in the process of an entry host."""
