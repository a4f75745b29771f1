"""Streams that go on: pauses, and the software they are bound to; imports requests and below."""
