"""The command celeryshiftd."""

import sys

import aiomisc
import fire

import celeryshift_core as core
from celeryshift_node import _logs
from celeryshift_node import _service
from celeryshift_node import _settings
from celeryshift_node import _tls

BAD_SETTINGS = 2


def run(settings: str) -> None:
    """Run a node with the settings in a JSON file, until SIGTERM."""
    try:
        checked = _settings.load(settings)
        _tls.server_context(checked.tls)
        _tls.client_context(checked.tls)
    except core.SettingsError as error:
        sys.stderr.write(f'celeryshiftd: {error}\n')
        raise SystemExit(BAD_SETTINGS) from error
    bounds = checked.bounds
    stop_s = bounds.drain_timeout_s + 2 * bounds.idle_grace_s + 5
    service = _service.NodeService(settings=checked)
    with (
        _logs.writing(checked.log),
        aiomisc.entrypoint(
            service, log_config=False, shutdown_timeout=stop_s
        ) as loop,
    ):
        loop.run_forever()


def main() -> None:
    """Start celeryshiftd from the command line."""
    fire.Fire(run, name='celeryshiftd')
