"""One real driver on the platform: `python -m sedgepitch.node`. Light imports: memory is counted there."""
