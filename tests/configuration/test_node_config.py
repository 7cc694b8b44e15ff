"""The configuration of a node: its values, environment variables that override it, and error messages."""

import json
import math

import pytest

from swiftthread.configuration.node_config import ConfigurationError, read_node_config
from swiftthread.configuration.settings_reader import MalformedInput
from swiftthread.routing.settings import Effect

DOCUMENT = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:9001",
    "state": "/var/lib/node",
    "seed": "ff",
    "limits": {"sockets": 96},
    "known": {"servers": []},
    "settings": {
        "Profiles": [{"Name": "notice", "Effect": "retryable", "Aim": 1.5, "Deadline": 5.0}],
        "Kinds": ["plain", "batch"],
        "Localities": ["east"],
        "Realms": [{"Name": "retail", "QuotaPerS": 5.0}],
        "Stats": {"Fields": ["x0", "x1"]},
    },
}


@pytest.mark.parametrize("ask_within_s, max_pause_ms", [(10.0, 4500.0), (2.0, 2000.0), (None, 0.0)])
def test_a_failed_request_for_the_list_is_repeated_within_the_age_that_a_list_may_have(
    write_config, ask_within_s, max_pause_ms
):
    settings = DOCUMENT["settings"] | {"Discovery": "ask", "Obligations": {"AskWithin": ask_within_s}}
    config = read_node_config(write_config(DOCUMENT | {"settings": settings}))
    assert config.settings.max_list_request_pause_ms == max_pause_ms


@pytest.fixture
def write_config(tmp_path):
    """Returns a function that writes a document or text and returns the environment that names its file."""

    def write(document):
        path = tmp_path / "config.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return {"LB_CONFIG": str(path)}

    return write


def test_a_document_is_read_into_typed_values(write_config):
    config = read_node_config(write_config(DOCUMENT))
    assert (config.name, config.state_directory, config.seed) == ("n0", "/var/lib/node", 255)
    assert config.listen == ("127.0.0.1", 9000) and config.discovery == ("127.0.0.1", 9001)
    assert config.limits == {"sockets": 96} and config.initial_list == {"servers": []}
    assert config.settings.stream_types[0].effect == Effect.IDEMPOTENT
    assert config.settings.max_pending_events == math.inf  # the document leaves it out
    assert config.setting_numbers.stream_type_numbers == {
        "notice": 0
    } and config.setting_numbers.tenant_numbers == {"retail": 0}
    assert config.setting_numbers.kind_numbers == {
        "plain": 0,
        "batch": 1,
    } and config.setting_numbers.zone_numbers == {"east": 0}
    assert config.report_fields == ["x0", "x1"] and config.settings_warnings == []
    assert config.start_only_values["listen"] == "127.0.0.1:9000"


def test_the_environment_overrides_the_document_except_for_discovery_at_a_reload(write_config):
    environ = write_config(DOCUMENT) | {
        "LB_NAME": "n7",
        "LB_LISTEN": "127.0.0.1:7000",
        "LB_DISCOVERY": "127.0.0.1:7001",
        "LB_STATE": "/srv/state",
    }
    started = read_node_config(environ)
    reloaded = read_node_config(environ, is_reload=True)
    assert (started.name, started.listen[1], started.state_directory) == ("n7", 7000, "/srv/state")
    assert started.discovery[1] == 7001 and reloaded.discovery[1] == 9001


@pytest.mark.parametrize(
    "document, key, reason",
    [
        ("{", None, "it is not valid JSON"),
        ("[]", None, "it cannot be read: it is not a JSON object"),
        ({}, "name", "missing key 'name'"),
        (
            DOCUMENT | {"listen": "x"},
            "listen",
            "listen cannot be read: not an address of the form host:port: 'x'",
        ),
        (DOCUMENT | {"discovery": 7}, "discovery", "discovery cannot be read"),
        (DOCUMENT | {"seed": "none"}, "seed", "seed cannot be read"),
        (DOCUMENT | {"settings": []}, "settings", "cannot be read"),
        (DOCUMENT | {"settings": {"Period": "soon"}}, "settings", "cannot be read"),
        (DOCUMENT | {"settings": {"Profiles": [{"Aim": "long"}]}}, "settings", "Profiles[0] cannot be read"),
    ],
)
def test_an_error_names_the_file_and_the_key(write_config, document, key, reason):
    environ = write_config(document)
    with pytest.raises(ConfigurationError) as raised:
        read_node_config(environ)
    assert raised.value.path == environ["LB_CONFIG"] and raised.value.key == key
    assert environ["LB_CONFIG"] in str(raised.value) and reason in str(raised.value)
    assert "\n" not in str(raised.value) and isinstance(raised.value, MalformedInput)


def test_a_missing_file_and_an_unset_variable_have_different_errors(tmp_path):
    with pytest.raises(
        ConfigurationError, match="the environment variable LB_CONFIG does not name a configuration file"
    ):
        read_node_config({})
    with pytest.raises(ConfigurationError, match=r"gone\.json: it cannot be read: No such file"):
        read_node_config({"LB_CONFIG": str(tmp_path / "gone.json")})
