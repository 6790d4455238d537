"""Wire formats and calls of the platform that the system runs on.

This package decodes external names into types of the core, each in one place
only. It makes no decisions.
"""
