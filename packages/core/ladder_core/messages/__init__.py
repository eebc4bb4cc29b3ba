"""Decoding of messages that others wrote."""

from ladder_core.messages.decoding import decode_json, decode_msgpack

__all__ = ('decode_json', 'decode_msgpack')
