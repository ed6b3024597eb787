"""The celeryshiftd command."""

import sys

import aiomisc
import fire

import celeryshift_core as core
from celeryshift_node import _logs
from celeryshift_node import _service
from celeryshift_node import _settings
from celeryshift_node import _tls

SETTINGS_ERROR_EXIT_CODE = 2


def run(settings: str) -> None:
    """Run a node with the settings in a JSON file, until SIGTERM."""
    try:
        parsed = _settings.load(settings)
        # Reports unusable TLS files before the node starts.
        _tls.server_context(parsed.tls)
        _tls.client_context(parsed.tls)
    except core.SettingsError as error:
        sys.stderr.write(f'celeryshiftd: {error}\n')
        raise SystemExit(SETTINGS_ERROR_EXIT_CODE) from error
    bounds = parsed.bounds
    # The time to drain and the two waits in NodeService.stop, and 5 s for the
    # rest of it, such as requests in progress when the listener closes.
    shutdown_timeout_s = bounds.drain_timeout_s + 2 * bounds.idle_grace_s + 5
    service = _service.NodeService(settings=parsed)
    with (
        _logs.log_to_stderr(parsed.log),
        aiomisc.entrypoint(
            service, log_config=False, shutdown_timeout=shutdown_timeout_s
        ) as loop,
    ):
        loop.run_forever()


def main() -> None:
    """Run celeryshiftd with the arguments of the command line."""
    fire.Fire(run, name='celeryshiftd')
