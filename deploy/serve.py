"""Run the daemon on the platform's machines, from the sources beside this file."""

import gc
import signal
import sys
from pathlib import Path
from types import SimpleNamespace

# The platform may send SIGHUP for new settings while the imports below still run, which takes half
# a second and more on a busy machine. Until the daemon has set its handler, the signal would end
# the process without a message. The settings are read after the imports, so it can be ignored.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# After a loss of power nothing is served until the daemon has started, so the start saves processor
# time. Objects that imports allocate are never freed, so that garbage collections would find
# nothing.
gc.disable()
# Nothing here uses TLS, and OpenSSL takes 5 MB of each process. The libraries run without it, and
# hashlib then computes digests by Python's own modules.
for name in ("ssl", "_ssl", "_hashlib"):
    sys.modules[name] = None  # type: ignore[assignment]
# mode imports a parser of crontabs and its time zones (1 MB), and no service here has a crontab.
sys.modules["croniter.croniter"] = SimpleNamespace(croniter=None)  # type: ignore[assignment]
ROOT = Path(__file__).resolve().parent.parent
CODE_CACHE = ROOT / "target" / "attrs-code"
MODULES = ROOT / "target" / "modules"
PATTERNS = ROOT / "target" / "patterns"
sys.path.insert(0, str(ROOT / "src"))

from pomelobarrow.kernel.module_cache import reused_modules  # noqa: E402

with reused_modules(MODULES, ROOT):
    from pomelobarrow.kernel.code_cache import reused_code
    from pomelobarrow.kernel.pattern_cache import reused_patterns

    with reused_patterns(PATTERNS), reused_code(CODE_CACHE):
        from pomelobarrow.platform.daemon import import_plugins, main

        import_plugins()

if __name__ == "__main__":
    sys.exit(main())
