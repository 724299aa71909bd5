#pragma once

#include <string_view>

namespace sagechute {

/// @return whether @p text is well-formed UTF-8 (RFC 3629): no overlong form, no surrogate, nothing above U+10FFFF.
bool isUtf8(std::string_view text);

} // namespace sagechute
