"""Writes the settings of every host and the endpoints of both deployments.

Run ``python examples/generate_hosts.py`` after a change here. Each endpoint has
a host of its own; the first host of each zone also runs the control part.
"""  # noqa: INP001

from __future__ import annotations

import ipaddress
import json

from pathlib import Path
from typing import Final
from typing import NamedTuple


class Deployment(NamedTuple):
    """What differs between the deployments."""

    name: str
    region: str
    zones: tuple[str, ...]
    endpoints: dict[str, int]
    slots: int
    connections: int
    network: str


class Host(NamedTuple):
    """One host and the endpoint beside its router."""

    name: str
    zone: str
    address: str
    service: str
    upstream: str
    runs_control: bool


DEPLOYMENTS: Final = (
    Deployment(
        name="comhairle",
        region="eu-west-dub",
        zones=("dub-a", "dub-b", "dub-c"),
        endpoints={"catalogue-diary": 5, "booking": 5, "deposit": 3},
        slots=10,
        connections=130,
        network="10.20.0.0/16",
    ),
    Deployment(
        name="nilebridge",
        region="eg-north",
        zones=("cairo-a", "cairo-b", "alex-a"),
        endpoints={"counter-tickets": 4, "workshop-scheduling": 4, "deposit-ledger": 3},
        slots=20,
        connections=110,
        network="10.30.0.0/16",
    ),
)
UPSTREAM_PORT: Final = 9000
PORTS: Final = {"control_port": 7102, "lease_port": 7103, "admin_port": 7104}
FOLDER: Final = Path(__file__).parent


def hosts_of(deployment: Deployment) -> list[Host]:
    """Spread the endpoints of each service evenly over the zones."""
    network = ipaddress.ip_network(deployment.network)
    upstreams = [
        (service, f"{service}-{number + 1}")
        for service, count in deployment.endpoints.items()
        for number in range(count)
    ]
    hosts = []
    for position, (service, upstream) in enumerate(upstreams):
        rank, zone = divmod(position, len(deployment.zones))
        hosts.append(
            Host(
                name=f"{deployment.zones[zone]}-{rank + 1}",
                zone=deployment.zones[zone],
                address=str(network[zone * 256 + rank + 1]),
                service=service,
                upstream=upstream,
                runs_control=rank == 0,
            )
        )
    return hosts


def settings_text(deployment: Deployment, host: Host) -> str:
    """Return the settings file of one host."""
    control_hosts = [
        {"name": each.name, "zone": each.zone, "address": each.address, **PORTS}
        for each in hosts_of(deployment)
        if each.runs_control
    ]
    settings = {
        "deployment": deployment.name,
        "host": host.name,
        "region": deployment.region,
        "zone": host.zone,
        "cell": "cell-1",
        "key_file": "/etc/sassafraswharf/deployment.key",
        "bind": {
            "address": host.address,
            "public_port": 7100,
            "internal_port": 7101,
            **PORTS,
        },
        "control_hosts": control_hosts,
        "router": {},
    }
    if host.runs_control:
        settings["bind"] |= {"admin_address": host.address}  # type: ignore[operator]
        settings["operator_key_file"] = "/etc/sassafraswharf/operator.key"
        settings["control"] = {"data_folder": "/var/lib/sassafraswharf"}
    parts = "router and control" if host.runs_control else "router"
    comment = (
        f"// {deployment.name}, host {host.name}: {parts} beside {host.upstream}.\n"
        "// Written by examples/generate_hosts.py.\n"
    )
    return comment + json.dumps(settings, indent=2) + "\n"


def endpoints_text(deployment: Deployment) -> str:
    """Return what the endpoints announce, one object per endpoint."""
    endpoints = [
        {
            "upstream": host.upstream,
            "service": host.service,
            "host": host.name,
            "zone": host.zone,
            "address": f"{host.address}:{UPSTREAM_PORT}",
            "slots": deployment.slots,
            "connections": deployment.connections,
        }
        for host in hosts_of(deployment)
    ]
    return json.dumps(endpoints, indent=2) + "\n"


def files_of(deployment: Deployment) -> dict[str, str]:
    """Return the text of each file by its path below ``examples/``."""
    files = {f"{deployment.name}/endpoints.json": endpoints_text(deployment)}
    for host in hosts_of(deployment):
        path = f"{deployment.name}/hosts/{host.name}.json5"
        files[path] = settings_text(deployment, host)
    return files


def main() -> None:
    """Write the files of all deployments."""
    for deployment in DEPLOYMENTS:
        for name, text in files_of(deployment).items():
            path = FOLDER / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)


if __name__ == "__main__":
    main()
