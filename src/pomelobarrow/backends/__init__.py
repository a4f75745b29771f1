"""Send requests to engines and plain services, and poll their load."""
