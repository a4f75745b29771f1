"""Vocabulary and small algorithms that every other package may use; imports none of them."""
