"""Main program of the node daemon."""

import asyncio
import signal
import sys
from pathlib import Path

import defopt
from loguru import logger

from ladder_core.errors import SettingsError
from ladder_core.logs import configure_logs
from ladder_core.settings import NodeSettings, load_node_settings
from ladder_node.app.tree import build_node

_EXIT_INVALID_SETTINGS = 2
_EXIT_FAILURE = 1


def serve(settings_path: Path) -> None:
    """
    Run one node until it receives SIGTERM or SIGINT.

    :param settings_path: The node's settings file.
    """
    try:
        settings = load_node_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        sys.exit(_EXIT_INVALID_SETTINGS)
    configure_logs(settings.name, settings.log_level)
    if not asyncio.run(_run(settings)):
        sys.exit(_EXIT_FAILURE)


def main() -> None:
    """Run the node daemon."""
    defopt.run(serve)


async def _run(settings: NodeSettings) -> bool:
    """Run the node; return whether a signal stopped it."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    node = build_node(settings)
    root = node.root
    await root.start()
    logger.info('serving at {}', settings.entry_address)
    waits = {
        asyncio.create_task(stopped.wait()),
        asyncio.create_task(root.wait_failed()),
    }
    _, pending = await asyncio.wait(
        waits,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in pending:
        task.cancel()
    if stopped.is_set():
        await node.drain.run()
    await root.close()
    logger.info('stopped')
    return stopped.is_set()
