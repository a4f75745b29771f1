"""Show a whole deployment at work: what was promised against what was seen."""
