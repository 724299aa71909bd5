#pragma once

#include <cstddef>
#include <string_view>

namespace sagechute::config {

inline constexpr std::size_t shortestKey = 16;
inline constexpr std::size_t longestKey = 256;
inline constexpr std::size_t shortestSalt = 16;
inline constexpr std::size_t longestSalt = 64;

/// @return whether @p text can be a key: printable ASCII without spaces, of a length that cannot be guessed.
bool isPlainKey(std::string_view text);
bool isKeyId(std::string_view text);
bool isSalt(std::string_view text);
bool isDigest(std::string_view text);

} // namespace sagechute::config
