"""The daemon: its supervisor tree and its program."""
