"""Command line program of the bench."""

import defopt

from bench.commands import run, slopes, summarize

if __name__ == '__main__':
    defopt.run([run, slopes, summarize])
