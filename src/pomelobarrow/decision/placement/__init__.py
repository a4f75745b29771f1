"""Which server or region takes a request; imports admission and below."""
