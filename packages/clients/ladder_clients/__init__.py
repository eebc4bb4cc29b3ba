"""Clients of the platform's services and of the targets."""
