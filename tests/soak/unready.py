"""A program that has not come to handle signals yet."""

import time

# Longer than any test that ends it.
SECONDS = 600

if __name__ == '__main__':
    time.sleep(SECONDS)
