"""The JSON schema of the configuration."""

from importlib import resources
import json
from typing import Any

FILE = 'config.schema.json'


def config_schema() -> dict[str, Any]:
    """Return the JSON schema of the configuration."""
    text = resources.files('celeryshift_client').joinpath(FILE).read_text()
    return json.loads(text)
