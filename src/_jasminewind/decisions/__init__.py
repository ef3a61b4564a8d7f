"""Decision logic without input, output, clock or randomness."""
