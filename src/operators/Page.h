#pragma once

#include <string_view>

namespace sagechute::operators {

/// @return the operators' page; made from page.html by tools/embed-page.sh.
std::string_view pageHtml();

/// @return hashes of the page's script and style for its content security policy.
std::string_view pageScriptHash();
std::string_view pageStyleHash();

} // namespace sagechute::operators
