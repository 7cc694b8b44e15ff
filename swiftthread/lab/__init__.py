"""The laboratory: emulated receivers, a load generator, a referee and experiments.

The delivery node never imports it.
"""
