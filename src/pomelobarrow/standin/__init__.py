"""Small stand-ins for the platform, engines, services and the network, for tests and demos."""
