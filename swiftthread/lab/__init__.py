"""The laboratory: emulated receivers, load, a referee and experiments. The delivery node never imports it."""
