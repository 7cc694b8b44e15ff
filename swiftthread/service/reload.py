"""Reload of the configuration while the node runs (SIGHUP)."""

import dataclasses
import os

from loguru import logger

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.configuration.node_config import ConfigurationError, NodeConfig, read_node_config


def reload_config(config: NodeConfig, discovery: DiscoveryClient, notifier: ResultNotifier) -> NodeConfig:
    """Read the configuration again and move to the discovery that it names; nothing else changes.

    Returns:
        The new configuration, or `config` where the new one cannot be used.
    """
    try:
        fresh = read_node_config(os.environ, is_reload=True)
    except ConfigurationError as error:
        logger.error("the new configuration is not used: {}", error)
        return config
    for key, value in fresh.start_only_values.items():
        if value != config.start_only_values[key]:
            logger.warning("the new configuration's {} counts from the next start on", key)
    logger.info("the configuration is read again; discovery is at {}:{}", *fresh.discovery)
    discovery.change_address(fresh.discovery)
    notifier.change_address(fresh.discovery)
    return dataclasses.replace(fresh, start_only_values=config.start_only_values)
