#pragma once

#include <string>
#include <string_view>

namespace sagechute::config {

/// @return @p text cut to @p most bytes, never inside a UTF-8 character.
std::string clip(std::string_view text, std::size_t most);

/// @return whether @p text may name a resource, pool or availability zone: 1-63 of a-z, 0-9, '-' and '.', not at an end
/// '-' or '.'.
bool isName(std::string_view text);

/// @return whether @p text may identify a change: 1-64 of A-Z, a-z, 0-9, '-', '_' and '.'.
bool isChangeId(std::string_view text);

/// @return whether @p text has only lower-case hex digits, from @p least to @p most of them.
bool isHex(std::string_view text, std::size_t least, std::size_t most);

/// @return whether @p text is "ADDRESS:PORT" with a numeric IPv4 or a bracketed IPv6 address and a port from 1.
bool isEndpoint(const std::string& text);

/// @return @p value in its shortest form that reads well: "2", "0.25".
std::string shortNumber(double value);

} // namespace sagechute::config
