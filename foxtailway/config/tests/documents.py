"""Valid documents of a small mesh, and functions that make bundles of them."""

from collections.abc import Mapping

from foxtailway.model import Bundle, BundleKind, make_bundle, make_document

BASE = """[mesh]
name = pond
generation = 3

[overlays]
route.timeout = 100ms .. 5s
service.slots = 1 .. 20

[site north]
region = coast

[site south]
region = inland

[service slots]
slots = 10

[service payments]
secret = token

[route slots]
path = /slots
methods = GET
cluster = slots
idempotent = yes

[route payments]
path = /payments
methods = POST
cluster = payments
idempotent = no
timeout = 800ms
"""

NORTH = """[route payments]
timeout = 2s
"""

SECRET_VALUE = "s3cr3t-value"

CONFIG = {"base": BASE, "overlay/north": NORTH, "secret/token": SECRET_VALUE}

HOSTS = {
    "hosts/north": '["n1","10.0.0.1",7000,"slots","live"]\n'
    '["n2","10.0.0.2",7000,"payments","live"]\n',
    "hosts/south": '["s1","10.0.1.1",7000,"slots","leaving"]\n',
}


def make_bundle_of_texts(
    kind: BundleKind, contents: Mapping[str, str | bytes], revision: int = 1
) -> Bundle:
    documents = []
    for key, content in contents.items():
        data = content if isinstance(content, bytes) else content.encode()
        documents.append(make_document(key=key, content=data))
    return make_bundle(kind=kind, generation=1, revision=revision, documents=documents)


def make_config_bundle(
    contents: Mapping[str, str | bytes], revision: int = 1
) -> Bundle:
    return make_bundle_of_texts(BundleKind.CONFIG, contents, revision)


def make_hosts_bundle(contents: Mapping[str, str | bytes], revision: int = 1) -> Bundle:
    return make_bundle_of_texts(BundleKind.HOSTS, contents, revision)
