"""Histories of concurrent runs, and a checker for each promise."""
