"""Certificates for tests, made by the openssl command."""

import subprocess

from quetzalgauge import settings


def make_tls(path):
    """Makes an authority and a certificate for 127.0.0.1 in a directory."""
    curve = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256", "-nodes"]
    _openssl(
        *("req", "-x509", *curve, "-days", "2", "-subj", "/CN=test"),
        *("-keyout", str(path / "ca.key"), "-out", str(path / "ca.pem")),
    )
    _openssl(
        *("req", "-new", *curve, "-subj", "/CN=node"),
        *("-keyout", str(path / "node.key"), "-out", str(path / "node.csr")),
    )
    (path / "san").write_text("subjectAltName=IP:127.0.0.1\n")
    _openssl(
        *("x509", "-req", "-days", "2", "-in", str(path / "node.csr")),
        *("-CA", str(path / "ca.pem"), "-CAkey", str(path / "ca.key")),
        *("-CAcreateserial", "-extfile", str(path / "san")),
        *("-out", str(path / "node.pem")),
    )
    return settings.Tls(
        certificate=str(path / "node.pem"),
        key=str(path / "node.key"),
        authority=str(path / "ca.pem"),
    )


def _openssl(*arguments):
    subprocess.run(["openssl", *arguments], check=True, capture_output=True)
