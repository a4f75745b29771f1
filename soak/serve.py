"""Run the platform's daemon with its metrics on a port that is free on this machine."""

import os
import sys

from pomelobarrow.platform import settings
from pomelobarrow.platform.daemon import main

if __name__ == "__main__":
    os.environ[settings.SETTINGS_VARIABLE] = sys.argv[1]
    settings.METRICS_PORT = int(sys.argv[2])
    sys.exit(main())
