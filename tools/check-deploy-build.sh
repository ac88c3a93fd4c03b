#!/usr/bin/env bash
# Runs the build command of deploy/system.toml on a copy of the sources, in an
# empty folder and without a compiler cache. The build must not depend on
# warnings, which vary with the compiler and the kind of machine, and must use
# the packages that the file names and no others.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  printf 'deploy build: %s\n' "$1" >&2
  exit 1
}

deploy_file=deploy/system.toml
command="$(sed -n 's/^build = "\(.*\)"$/\1/p' "$deploy_file")"
program="$(sed -n 's/^run = "\([^ "]*\).*"$/\1/p' "$deploy_file")"
mapfile -t packages < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$deploy_file" |
  grep -oE '[a-z0-9][a-z0-9.+-]+')
[ -n "$command" ] && [ -n "$program" ] && [ "${#packages[@]}" -gt 0 ] ||
  fail "cannot read build, run and packages from $deploy_file"

copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard -z |
  tar --null --files-from=- --ignore-failed-read -cf - | tar -xf - -C "$copy"

log="$copy/deploy-build.log"
started=$SECONDS
(cd "$copy" && CCACHE_DISABLE=1 bash -c "$command") > "$log" 2>&1 || {
  tail -n 40 "$log"
  fail "failed on $(uname -m)"
}
[ -x "$copy/$program" ] || fail "made no $program"
commands="$(find "$copy/target" -maxdepth 1 -name compile_commands.json)"
[ -n "$commands" ] || fail "wrote no compile_commands.json"

if grep -qE -- '-Werror' "$commands"; then
  fail "a flag turns warnings into errors"
fi
if grep -E 'warning:' "$log"; then
  fail "prints warnings on $(uname -m)"
fi

# closure of the packages over their dependencies, as installed here
allowed="$copy/packages-allowed"
dpkg-query -W -f '${Package}\t${Pre-Depends}, ${Depends}\t${Provides}\n' |
  sed -E 's/\([^)]*\)//g; s/:[a-z0-9]+//g; s/ //g' |
  awk -F '\t' -v roots="${packages[*]}" '
    { needs[$1] = $2; installed[$1] = 1
      count = split($3, provided, ",")
      for (i = 1; i <= count; ++i) providers[provided[i]] = providers[provided[i]] "," $1 }
    END {
      last = split(roots, queue, " ")
      for (position = 1; position <= last; ++position) {
        name = queue[position]
        if (name in seen) continue
        seen[name] = 1
        if (name in installed) print name
        count = split(needs[name] providers[name], names, /[,|]/)
        for (i = 1; i <= count; ++i) if (names[i] != "") queue[++last] = names[i]
      }
    }' | sort -u > "$allowed"

# files outside the copy that the compiler read, and the shared libraries
used="$copy/files-used"
{
  ninja -C "$copy/target" -t deps | sed -n 's/^    \(\/.*\)$/\1/p'
  sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$commands"
  ldd "$copy/$program" | sed -n 's/^.* => \(\/[^ ]*\) .*$/\1/p'
} | grep -v "^$copy/" | sort -u > "$used"
[ -s "$used" ] || fail "found no system headers"
owners="$copy/owners"
# dpkg knows some libraries by their path without /usr
xargs -a "$used" readlink -f | sort -u | sed 'p; s/^\/usr//' |
  xargs dpkg -S > "$owners" 2> /dev/null || true # one path of each two is unknown
undeclared="$(sed -E 's/: \/.*//; s/:[a-z0-9]+//g; s/, /\n/g' "$owners" | sort -u |
  comm -23 - "$allowed" | tr '\n' ' ')"
[ -z "$undeclared" ] || fail "uses packages that $deploy_file does not name: $undeclared"
unowned="$(xargs -a "$used" readlink -f | sed 's/^\/usr//' | sort -u |
  comm -23 - <(sed -E 's/^.*: (\/usr)?//' "$owners" | sort -u) | tr '\n' ' ')"
[ -z "$unowned" ] || fail "uses files of no package: $unowned"

printf 'deploy build: passed on %s in %d s, %d system files of %d packages\n' \
  "$(uname -m)" "$((SECONDS - started))" "$(wc -l < "$used")" "${#packages[@]}"
