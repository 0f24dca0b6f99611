"""Which entry hosts live, and what they tell one another."""
