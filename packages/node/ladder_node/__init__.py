"""The node daemon."""
