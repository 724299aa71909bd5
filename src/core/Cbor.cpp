#include <sagechute/Core.h>

#include "core/Concat.h"
#include "core/Utf8.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstring>
#include <limits>
#include <optional>

namespace sagechute {

namespace {

    using nlohmann::json;

    enum class Major : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

    /// First byte of an item and the number that belongs to it.
    struct Head {
        Major major = Major::Unsigned;
        std::uint8_t info = 0;
        std::uint64_t argument = 0;
    };

    constexpr std::uint8_t falseInfo = 20;
    constexpr std::uint8_t trueInfo = 21;
    constexpr std::uint8_t nullInfo = 22;
    constexpr std::uint8_t halfInfo = 25;
    constexpr std::uint8_t floatInfo = 26;
    constexpr std::uint8_t doubleInfo = 27;

    double halfToDouble(std::uint16_t half)
    {
        int exponent = (half >> 10) & 0x1F;
        int mantissa = half & 0x3FF;
        double magnitude = 0;
        if (exponent == 0)
            magnitude = std::ldexp(mantissa, -24);
        else if (exponent != 31)
            magnitude = std::ldexp(mantissa + 1024, exponent - 25);
        else
            magnitude = mantissa ? std::numeric_limits<double>::quiet_NaN() : std::numeric_limits<double>::infinity();
        return half & 0x8000 ? -magnitude : magnitude;
    }

    template <typename Float, typename Bits> double bitsToDouble(std::uint64_t argument)
    {
        auto bits = static_cast<Bits>(argument);
        Float number = 0;
        static_assert(sizeof(bits) == sizeof(number));
        std::memcpy(&number, &bits, sizeof(number));
        return number;
    }

    /// Decodes one item at a time.
    ///
    /// The JSON library's own decoder isn't used on bytes from the network: it follows nested indefinite-length strings
    /// (a row of 0x7F bytes) by recursion without a bound, so that one datagram could exhaust the stack and end the
    /// process, it keeps the last of two equal names, and it passes on text that isn't UTF-8, which throws much later
    /// when the value is written out. Here lengths are definite, depth is bounded, and text is checked.
    class Decoder {
    public:
        Decoder(std::string_view bytes, int maxDepth)
            : m_bytes(bytes)
            , m_maxDepth(maxDepth)
        {
        }

        absl::StatusOr<json> decodeOnly()
        {
            json item;
            if (!decode(item, 0))
                return error();
            if (m_at != m_bytes.size()) {
                fail("bytes after the item");
                return error();
            }
            return item;
        }

    private:
        absl::Status error() const
        {
            return makeError(ErrorKind::BadRequest, concat("Not acceptable as CBOR: at byte ", m_at, ": ", m_problem),
                "Send one CBOR item with definite lengths, UTF-8 text, text names without duplicates, and no tags");
        }

        bool fail(std::string_view problem)
        {
            m_problem = problem;
            return false;
        }

        std::size_t left() const { return m_bytes.size() - m_at; }

        bool readHead(Head& head)
        {
            if (!left())
                return fail("the item is cut off");
            auto first = static_cast<std::uint8_t>(m_bytes[m_at]);
            head.major = static_cast<Major>(first >> 5);
            head.info = first & 0x1F;
            if (head.info > doubleInfo)
                return fail("indefinite or reserved length");
            ++m_at;
            if (head.info < 24) {
                head.argument = head.info;
                return true;
            }
            return readArgument(std::size_t { 1 } << (head.info - 24), head.argument);
        }

        bool readArgument(std::size_t width, std::uint64_t& argument)
        {
            if (left() < width)
                return fail("the item is cut off");
            argument = 0;
            for (std::size_t i = 0; i < width; ++i)
                argument = argument << 8 | static_cast<std::uint8_t>(m_bytes[m_at + i]);
            m_at += width;
            return true;
        }

        bool decode(json& item, int depth)
        {
            Head head;
            if (!readHead(head))
                return false;
            switch (head.major) {
            case Major::Unsigned:
                item = head.argument;
                return true;
            case Major::Negative:
                return decodeNegative(item, head.argument);
            case Major::Bytes:
                return decodeBytes(item, head.argument);
            case Major::Text:
                return decodeText(item, head.argument);
            case Major::Array:
                return decodeArray(item, head.argument, depth + 1);
            case Major::Map:
                return decodeMap(item, head.argument, depth + 1);
            case Major::Tag:
                return fail("a tag");
            case Major::Simple:
                return decodeSimple(item, head);
            }
            return fail("an unknown type");
        }

        bool decodeNegative(json& item, std::uint64_t argument)
        {
            if (argument > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
                return fail("a negative number below 64 bits");
            item = -1 - static_cast<std::int64_t>(argument);
            return true;
        }

        bool take(std::uint64_t length, std::string_view& bytes)
        {
            if (length > left())
                return fail("the item is cut off");
            bytes = m_bytes.substr(m_at, length);
            m_at += length;
            return true;
        }

        bool decodeBytes(json& item, std::uint64_t length)
        {
            std::string_view bytes;
            if (!take(length, bytes))
                return false;
            item = json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
            return true;
        }

        bool takeText(std::uint64_t length, std::string_view& text)
        {
            return take(length, text) && (isUtf8(text) || fail("text that is not UTF-8"));
        }

        bool decodeText(json& item, std::uint64_t length)
        {
            std::string_view text;
            if (!takeText(length, text))
                return false;
            item = std::string(text);
            return true;
        }

        /// Every element takes a byte at least, so a count beyond the bytes left is refused before anything is
        /// reserved.
        bool checkContainer(std::uint64_t count, int depth)
        {
            if (depth > m_maxDepth)
                return fail("nested too deeply");
            return count <= left() || fail("the item is cut off");
        }

        bool decodeArray(json& item, std::uint64_t count, int depth)
        {
            if (!checkContainer(count, depth))
                return false;
            item = json::array();
            for (std::uint64_t i = 0; i < count; ++i) {
                if (!decode(item.emplace_back(nullptr), depth))
                    return false;
            }
            return true;
        }

        bool decodeMap(json& item, std::uint64_t count, int depth)
        {
            if (!checkContainer(count, depth))
                return false;
            item = json::object();
            for (std::uint64_t i = 0; i < count; ++i) {
                Head head;
                std::string_view name;
                if (!readHead(head))
                    return false;
                if (head.major != Major::Text)
                    return fail("a name that is not text");
                if (!takeText(head.argument, name))
                    return false;
                auto [it, isNew] = item.emplace(std::string(name), nullptr);
                if (!isNew)
                    return fail("a name that appears twice");
                if (!decode(*it, depth))
                    return false;
            }
            return true;
        }

        bool decodeSimple(json& item, const Head& head)
        {
            switch (head.info) {
            case falseInfo:
            case trueInfo:
                item = head.info == trueInfo;
                return true;
            case nullInfo:
                item = nullptr;
                return true;
            case halfInfo:
                item = halfToDouble(static_cast<std::uint16_t>(head.argument));
                return true;
            case floatInfo:
                item = bitsToDouble<float, std::uint32_t>(head.argument);
                return true;
            case doubleInfo:
                item = bitsToDouble<double, std::uint64_t>(head.argument);
                return true;
            default:
                return fail("an unknown simple value");
            }
        }

        std::string_view m_bytes;
        std::size_t m_at = 0;
        int m_maxDepth;
        std::string_view m_problem;
    };

} // namespace

absl::StatusOr<json> decodeCbor(std::string_view bytes, int maxDepth) { return Decoder(bytes, maxDepth).decodeOnly(); }

std::string encodeCbor(const json& item)
{
    std::string bytes;
    json::to_cbor(item, bytes);
    return bytes;
}

} // namespace sagechute
