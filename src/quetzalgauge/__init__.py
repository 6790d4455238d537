"""Serving system for rarely used language models."""
