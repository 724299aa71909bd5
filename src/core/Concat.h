#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace sagechute {

inline void appendPart(std::string& text, std::string_view part) { text += part; }

void appendPart(std::string& text, std::integral auto number) { text += std::to_string(number); }

/// Joins texts and numbers. absl::StrCat isn't used: the packaged absl has a string_view of its own, which doesn't take
/// std::string_view.
template <typename... Parts> std::string concat(const Parts&... parts)
{
    std::string text;
    (appendPart(text, parts), ...);
    return text;
}

} // namespace sagechute
