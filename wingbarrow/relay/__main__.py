"""`python -m wingbarrow.relay`: runs one placer on the platform in the foreground, logging to standard error."""

from __future__ import annotations

import gc
import os
import signal
import sys

from wingbarrow.core.stdlib_log import StdlibLog
from wingbarrow.relay import trace
from wingbarrow.relay.configuration import BadConfiguration, load
from wingbarrow.relay.placer import Placer
from wingbarrow.transport import Hub, PeerGone
from wingbarrow.transport.signals import on_signals


def main() -> int:
    """Serve until SIGTERM or SIGINT; return the exit status: 0, 1 on a network error, 2 on a bad configuration."""
    hub = Hub()
    log = StdlibLog(hub.now_us)
    try:
        configuration = load(os.environ)
        placer = Placer(hub, configuration, log, trace.from_environment(os.environ, log.write))
    except (BadConfiguration, ValueError) as error:
        print(f"wingbarrow: {error}", file=sys.stderr, flush=True)
        return 2
    path = os.environ["RELAY_CONFIG"]
    listen_to_signals = on_signals(
        hub,
        {
            signal.SIGTERM: placer.begin_shutdown,
            signal.SIGINT: placer.begin_shutdown,
            signal.SIGHUP: lambda: placer.reload(path),
        },
    )
    gc.collect()
    gc.freeze()  # loaded objects are permanent, so later collections skip them
    hub.on_task_error = lambda name, error: log(
        "task-failed", level="error", task=name, why=f"{type(error).__name__}: {error}"
    )

    def serve() -> None:
        hub.spawn(listen_to_signals, "signals")
        placer.run()

    try:
        hub.run(serve)
    except (OSError, PeerGone) as error:
        log("ended", level="error", listen=str(configuration.listen), why=str(error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
