"""The proxy program for the platform, `python -m sedgepitch.node`; imports are few to save memory."""
