"""What meets the platform: names, formats and calls. Nothing here decides."""
