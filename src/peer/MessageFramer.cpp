#include "peer/MessageFramer.h"

#include <algorithm>

namespace sagechute::peer {
namespace {

    constexpr unsigned kBitsPerByte = 7;
    constexpr unsigned char kContinues = 0x80;
    constexpr unsigned kMostShift = 28;

} // namespace

void appendFrame(std::string& out, std::string_view message)
{
    std::size_t length = message.size();
    while (length >= kContinues) {
        out.push_back(static_cast<char>((length & (kContinues - 1U)) | kContinues));
        length >>= kBitsPerByte;
    }
    out.push_back(static_cast<char>(length));
    out.append(message);
}

bool MessageFramer::readLength(std::string_view& bytes, bool& complete)
{
    while (!bytes.empty()) {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        if (m_shift >= kMostShift)
            return false;
        m_length |= static_cast<std::uint64_t>(byte & (kContinues - 1U)) << m_shift;
        m_shift += kBitsPerByte;
        if (byte & kContinues)
            continue;
        complete = true;
        return m_length <= m_most;
    }
    return true;
}

bool MessageFramer::feed(std::string_view bytes, const Sink& sink)
{
    while (!bytes.empty() || m_inBody) {
        if (!m_inBody) {
            if (!readLength(bytes, m_inBody))
                return false;
            if (!m_inBody)
                return true;
        }
        const std::size_t taken = std::min<std::size_t>(bytes.size(), m_length - m_partial.size());
        const bool whole = m_partial.size() + taken == m_length;
        std::string_view message = bytes.substr(0, taken);
        bytes.remove_prefix(taken);
        if (!whole || !m_partial.empty()) {
            m_partial.append(message);
            message = m_partial;
        }
        if (!whole)
            return true;
        const bool goOn = sink(message);
        m_partial.clear();
        m_length = 0;
        m_shift = 0;
        m_inBody = false;
        if (!goOn)
            return false;
    }
    return true;
}

} // namespace sagechute::peer
