#include <sagechute/Net.h>

namespace sagechute::net {

namespace {

    /// Doesn't depend on the locale, as isalnum() does.
    bool isUnreserved(char c)
    {
        constexpr std::string_view others = "-._~";
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || others.find(c) != std::string_view::npos;
    }

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        if (isUnreserved(c)) {
            result += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        result += '%';
        result += digits[byte >> 4];
        result += digits[byte & 0xF];
    }
    return result;
}

} // namespace sagechute::net
