#include "core/Utf8.h"

#include <cstddef>
#include <cstdint>
#include <cstring>

namespace sagechute {

namespace {

    /// The allowed second byte and the length of a sequence, by its first byte (table 3-7 of the Unicode standard).
    struct Sequence {
        std::size_t length = 0; ///< 0: no sequence starts with this byte.
        unsigned char low = 0x80;
        unsigned char high = 0xBF;
    };

    Sequence sequenceOf(unsigned char first)
    {
        if (first >= 0xC2 && first <= 0xDF)
            return { 2 };
        if (first == 0xE0)
            return { 3, 0xA0, 0xBF };
        if (first == 0xED)
            return { 3, 0x80, 0x9F };
        if (first >= 0xE1 && first <= 0xEF)
            return { 3 };
        if (first == 0xF0)
            return { 4, 0x90, 0xBF };
        if (first == 0xF4)
            return { 4, 0x80, 0x8F };
        if (first >= 0xF1 && first <= 0xF3)
            return { 4 };
        return {};
    }

    std::size_t asciiPrefix(std::string_view text)
    {
        constexpr std::uint64_t highBits = 0x8080808080808080ULL;
        std::size_t n = 0;
        while (n + sizeof(std::uint64_t) <= text.size()) {
            std::uint64_t word = 0;
            std::memcpy(&word, text.data() + n, sizeof(word));
            if (word & highBits)
                break;
            n += sizeof(word);
        }
        while (n < text.size() && static_cast<unsigned char>(text[n]) < 0x80)
            ++n;
        return n;
    }

} // namespace

bool isUtf8(std::string_view text)
{
    text.remove_prefix(asciiPrefix(text));
    while (!text.empty()) {
        auto sequence = sequenceOf(static_cast<unsigned char>(text.front()));
        if (!sequence.length || text.size() < sequence.length)
            return false;
        auto second = static_cast<unsigned char>(text[1]);
        if (second < sequence.low || second > sequence.high)
            return false;
        for (std::size_t i = 2; i < sequence.length; ++i) {
            if ((static_cast<unsigned char>(text[i]) & 0xC0) != 0x80)
                return false;
        }
        text.remove_prefix(sequence.length);
        text.remove_prefix(asciiPrefix(text));
    }
    return true;
}

} // namespace sagechute
