"""Sources of the endpoint list: the platform's discovery and the control socket of an emulated fleet."""
