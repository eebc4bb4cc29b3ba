"""Start a node from the source tree without installing its packages."""

import sys
from pathlib import Path

_TOP = Path(__file__).resolve().parent.parent
_PACKAGES = ('core', 'clients', 'policy', 'node')

sys.path[:1] = [
    str(_TOP / 'platform'),
    *(str(_TOP / 'packages' / name) for name in _PACKAGES),
]

from ladder_platform.main import main  # noqa: E402 needs the path set above

if __name__ == '__main__':
    main()
