"""Tools that run a fleet against the stand-ins and put load on it."""
