"""What instances tell each other, where the settings have a part `peers`. Nothing here decides."""
