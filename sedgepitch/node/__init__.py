"""The program that runs on the platform: `python -m sedgepitch.node`. Few imports: memory is limited."""
