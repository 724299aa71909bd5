#!/bin/sh
# Makes src/operators/Page.cpp from src/operators/page.html. Run it after a change of the page and commit both: the
# build needs no generator. The hashes let the browser run just this script and style, and nothing slipped in.
set -eu
cd "$(dirname "$0")/../src/operators"

# The text between <$1> and </$1>, to the byte, as the browser hashes it.
hashOf() {
    python3 - "$1" <<'PYTHON'
import base64, hashlib, sys
tag = sys.argv[1]
page = open("page.html", "rb").read()
start = page.index(f"<{tag}>".encode()) + len(tag) + 2
text = page[start:page.index(f"</{tag}>".encode())]
print("sha256-" + base64.b64encode(hashlib.sha256(text).digest()).decode())
PYTHON
}

{
    echo '// Made from page.html by tools/embed-page.sh; change the page there.'
    echo
    echo '#include "operators/Page.h"'
    echo
    echo 'namespace sagechute::operators {'
    echo
    echo '// clang-format off'
    echo "std::string_view pageScriptHash() { return \"$(hashOf script)\"; }"
    echo
    echo "std::string_view pageStyleHash() { return \"$(hashOf style)\"; }"
    echo
    echo 'std::string_view pageHtml()'
    echo '{'
    printf '    return R"page('
    cat page.html
    echo ')page";'
    echo '}'
    echo '// clang-format on'
    echo
    echo '} // namespace sagechute::operators'
} > Page.cpp
