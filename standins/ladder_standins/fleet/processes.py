"""Start, observe and stop the processes of a fleet."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

from ladder_standins.fleet.ports import reserve_port

_START_TIMEOUT_SECONDS = 20
_STOP_TIMEOUT_SECONDS = 30
_POLL_INTERVAL_SECONDS = 0.05
_PROGRAM_FOLDER = Path(sys.executable).parent


class ProcessGroup:
    """
    Named processes on the loopback interface, each with an address.

    Parameters
    ----------
    folder : Path
        Folder for the log files of the processes.

    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._commands: dict[str, tuple[str, ...]] = {}
        self._addresses: dict[str, str] = {}
        self._reservations: list[socket.socket] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the processes that were not stopped, the oldest first."""
        return tuple(self._processes)

    def find_address(self, name: str) -> str:
        """Return the address ``ip:port`` of a process."""
        return self._addresses[name]

    def reserve_address(self, name: str) -> str:
        """Choose a free address for a process and reserve it for restarts."""
        reservation = reserve_port()
        self._reservations.append(reservation)
        port = reservation.getsockname()[1]
        self._addresses[name] = f'127.0.0.1:{port}'
        return self._addresses[name]

    def release_addresses(self) -> None:
        """Release all reserved addresses, after the processes are stopped."""
        while self._reservations:
            self._reservations.pop().close()

    async def spawn(self, name: str, program: str, *flags: str) -> None:
        """
        Start a process.

        Parameters
        ----------
        name : str
            Name of the process in this group and of its log file.
        program : str
            Program of the workspace to run.
        *flags : str
            Command line arguments of the program.

        """
        self._commands[name] = (program, *flags)
        with (self._folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                str(_PROGRAM_FOLDER / program),
                *flags,
                stdout=log,
                stderr=log,
            )
        self._processes[name] = process

    def find_pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._processes[name].pid

    async def restart(self, name: str) -> None:
        """Start an ended process again, with its arguments and no state."""
        program, *flags = self._commands[name]
        await self.spawn(name, program, *flags)

    async def stop(self, name: str) -> int:
        """
        Stop a process with SIGTERM and return its exit status.

        A paused process is resumed first. A process that does not end within
        the time-out is killed.
        """
        process = self._processes.pop(name)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        process = self._processes.pop(name)
        if process.returncode is None:
            process.kill()
        await process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    async def wait_until_listening(self, name: str) -> None:
        """
        Wait until a process accepts connections at its address.

        Raises
        ------
        RuntimeError
            If the process ends before it listens.

        """
        host, _, port = self.find_address(name).rpartition(':')
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not await _is_listening(host, int(port)):
                self._check_running(name)
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _check_running(self, name: str) -> None:
        status = self._processes[name].returncode
        if status is not None:
            log = self._folder / f'{name}.log'
            raise RuntimeError(f'{name} ended with status {status}: see {log}')


async def _is_listening(host: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    await writer.wait_closed()
    return True
