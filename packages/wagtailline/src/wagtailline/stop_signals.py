"""Signals that ask a process to stop."""

import asyncio
import signal

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def follow_stop_signals() -> 'asyncio.Future[str]':
    """Return a future of the name of the first signal to stop.

    From now on the signals no longer end the process by themselves.
    """
    loop = asyncio.get_running_loop()
    first_signal: asyncio.Future[str] = loop.create_future()
    for stop_signal in _STOP_SIGNALS:
        loop.add_signal_handler(
            stop_signal, _record_signal, first_signal, stop_signal.name
        )
    return first_signal


def _record_signal(first_signal: 'asyncio.Future[str]', name: str) -> None:
    if not first_signal.done():
        first_signal.set_result(name)
