"""Short runs of the soak of real processes; a seed that has failed stays here."""

from __future__ import annotations

import pytest

from tests.processes.soak import run_seed

# 3 has a large manifest and a link of low bandwidth, 5 has gangs.
SEEDS = (1, 3, 5, 22, 24)
SECONDS = 15.0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cell_survives_faults_and_unruly_clients(tmp_path, seed):
    assert run_seed(seed, SECONDS, tmp_path) == []
