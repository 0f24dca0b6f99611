"""A program that has not installed its signal handlers yet."""

import time

# Longer than any test that terminates it.
SECONDS = 600

if __name__ == '__main__':
    time.sleep(SECONDS)
