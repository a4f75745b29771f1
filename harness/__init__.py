"""Start a whole deployment as separate processes for the demo, the proofs and the bench."""
