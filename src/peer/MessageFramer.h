#pragma once

/// @file
/// Messages inside a byte stream: each is preceded by its length as a base-128 varint.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sagechute::peer {

/// Larger messages are refused on both sides.
inline constexpr std::size_t kLargestMessage = 4 << 20;

/// Appends @p message with its length to @p out.
void appendFrame(std::string& out, std::string_view message);

/// Cuts a byte stream into messages.
class MessageFramer {
public:
    using Sink = std::function<bool(std::string_view message)>;

    /// @param bytes the next bytes of the stream.
    /// @param sink called with each whole message; it returns false to stop.
    /// @return false when a length is malformed or above the limit, or the sink stopped; the stream is unusable from
    /// there on.
    bool feed(std::string_view bytes, const Sink& sink);

    /// Lowers the limit for a peer that has not proved itself yet, so that it can't make this side hold 4 MB.
    void setLimit(std::size_t most) { m_most = most; }

private:
    bool readLength(std::string_view& bytes, bool& complete);

    std::size_t m_most = kLargestMessage;
    std::uint64_t m_length = 0;
    unsigned m_shift = 0;
    bool m_inBody = false;
    std::string m_partial;
};

} // namespace sagechute::peer
