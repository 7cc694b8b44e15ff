"""Reload of the configuration of a running node (SIGHUP)."""

import dataclasses
import os

from loguru import logger

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.configuration.node_config import ConfigurationError, NodeConfig, read_node_config


def reload_config(config: NodeConfig, discovery: DiscoveryClient, notifier: ResultNotifier) -> NodeConfig:
    """Read the configuration again and switch to the discovery address in it; nothing else changes.

    Returns:
        The new configuration, or `config` if the new one is invalid.
    """
    try:
        new_config = read_node_config(os.environ, is_reload=True)
    except ConfigurationError as error:
        logger.error("reloading the configuration failed: {}; the previous configuration stays in use", error)
        return config
    for key, value in new_config.start_only_values.items():
        if value != config.start_only_values[key]:
            logger.warning(
                "the configuration has a new value of {}, which takes effect at the next start", key
            )
    logger.info("the configuration was reloaded; discovery is at {}:{}", *new_config.discovery)
    discovery.change_address(new_config.discovery)
    notifier.change_address(new_config.discovery)
    return dataclasses.replace(new_config, start_only_values=config.start_only_values)
