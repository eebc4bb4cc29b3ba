"""The node daemon: its supervisor tree and its main program."""
