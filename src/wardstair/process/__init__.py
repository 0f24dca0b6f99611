"""What lives for the whole process of an entry host."""
