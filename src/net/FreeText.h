#pragma once

#include <string>

namespace sagechute::net {

/// Empties @p text and frees its memory, which the assignment of an empty text does not.
inline void freeText(std::string& text) { std::string().swap(text); }

} // namespace sagechute::net
