"""The users' platform: names, formats and calls, and nothing that decides.

Each wire name is decoded once, here, into types of the core.
"""
