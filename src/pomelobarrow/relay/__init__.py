"""Relay requests as they came: route them, place them on backend servers, pass the answers on."""
