#include "net/HttpReader.h"

#include "net/FreeText.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace sagechute::net {

namespace {

    namespace http = boost::beast::http;

    /// Of a request; the deployments allow callers half of it.
    constexpr std::size_t mostRequestHeadBytes = 32 << 10;
    constexpr std::size_t mostAnswerHeadBytes = 256 << 10;

    /// The parser's own bound; with none at all it takes every announced length for too large.
    constexpr std::uint64_t noBodyLimit = std::numeric_limits<std::uint64_t>::max();

    /// Separators of a field in a message's head.
    constexpr std::size_t fieldOverhead = 4;

    /// Range of HTTP's statuses.
    constexpr int leastStatus = 100;
    constexpr int mostStatus = 599;

    /// The parser's precondition where a body's only chunk is the last one, "0\r\n\r\n".
    constexpr std::size_t leastLastChunk = 5;

    /// @return whether more of a last chunk that follows no other is needed before the parser may see it.
    bool isTooShortAsOnlyChunk(std::string_view bytes)
    {
        return bytes.size() < leastLastChunk && bytes.substr(0, 1) == "0";
    }

    /// @return what the text takes beside the object that holds it.
    std::size_t heapBytes(const std::string& text)
    {
        static const std::size_t inPlace = std::string().capacity();
        constexpr std::size_t allocationOverhead = 16;
        return text.capacity() > inPlace ? text.capacity() + allocationOverhead : 0;
    }

    std::size_t heapBytes(const std::vector<Field>& fields)
    {
        std::size_t bytes = fields.capacity() * sizeof(Field);
        for (const Field& it : fields)
            bytes += heapBytes(it.name) + heapBytes(it.value);
        return bytes;
    }

    /// A body up to this size is not counted as a body: it takes no more than the head of a request may.
    constexpr std::size_t maxUncountedBodyBytes = 16 << 10;

    std::size_t smallBodyBytes(const ServerRequest& request)
    {
        const std::size_t bytes = heapBytes(request.body);
        return bytes > maxUncountedBodyBytes ? 0 : bytes;
    }

    std::string_view toStd(boost::beast::string_view text) { return { text.data(), text.size() }; }

    ReadProblem problemOf(const boost::beast::error_code& ec)
    {
        if (!ec || ec == http::error::need_more)
            return ReadProblem::None;
        if (ec == http::error::header_limit)
            return ReadProblem::HeadersTooLarge;
        if (ec == http::error::bad_content_length || ec == http::error::bad_transfer_encoding)
            return ReadProblem::AmbiguousLength;
        if (ec == http::error::need_buffer)
            return ReadProblem::SinkIsFull;
        return ReadProblem::Malformed;
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        const char lower = static_cast<char>(c | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    std::string percentDecoded(std::string_view text, bool isQuery)
    {
        std::string result;
        result.reserve(text.size());
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool hasCode
                = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (hasCode) {
                result += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
                i += 2;
            } else {
                result += isQuery && text[i] == '+' ? ' ' : text[i];
            }
        }
        return result;
    }

} // namespace

RequestReader::RequestReader(std::size_t mostBodyBytes)
    : m_mostBodyBytes(mostBodyBytes)
{
    eager(true);
    header_limit(mostRequestHeadBytes);
    body_limit(noBodyLimit);
}

std::size_t RequestReader::take(std::string_view bytes)
{
    if (is_header_done() && chunked() && !m_hasChunk && isTooShortAsOnlyChunk(bytes))
        return 0;
    ErrorCode ec;
    const std::size_t used = put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    if (m_problem == ReadProblem::None)
        m_problem = problemOf(ec);
    return used;
}

void RequestReader::fail(ReadProblem problem, ErrorCode& ec)
{
    m_problem = problem;
    ec = http::error::bad_value;
}

void RequestReader::on_request_impl(http::verb, Text method, Text target, int version, ErrorCode&)
{
    m_request.method = std::string(toStd(method));
    m_request.rawTarget = std::string(toStd(target));
    m_version = version;
}

void RequestReader::on_field_impl(http::field name, Text nameText, Text value, ErrorCode& ec)
{
    if (is_header_done())
        return; // A trailer.
    // The parser bounds what it has not taken yet, but not how many fields it takes.
    m_headBytes += nameText.size() + value.size() + fieldOverhead;
    if (m_headBytes > mostRequestHeadBytes) {
        fail(ReadProblem::HeadersTooLarge, ec);
        return;
    }
    m_lengths += name == http::field::content_length || name == http::field::transfer_encoding ? 1 : 0;
    if (m_lengths > 1) {
        fail(ReadProblem::AmbiguousLength, ec);
        return;
    }
    if (name == http::field::transfer_encoding && !isSameName(toStd(value), "chunked"))
        m_hasForeignCoding = true;
    if (name == http::field::expect && isSameName(toStd(value), "100-continue"))
        m_expectsContinue = true;
    m_request.headers.push_back({ std::string(toStd(nameText)), std::string(toStd(value)) });
    m_fieldMemory += heapBytes(m_request.headers.back().name) + heapBytes(m_request.headers.back().value);
}

void RequestReader::on_header_impl(ErrorCode& ec)
{
    // What ends the body of another coding is for its decoder to say; here it would be taken for a request of its own.
    if (m_hasForeignCoding)
        fail(ReadProblem::AmbiguousLength, ec);
    else if (const auto length = content_length(); length && *length > m_mostBodyBytes)
        fail(ReadProblem::BodyTooLarge, ec);
}

std::size_t RequestReader::on_body_impl(Text bytes, ErrorCode& ec)
{
    if (bytes.size() > m_mostBodyBytes - m_bodyBytes) {
        fail(ReadProblem::BodyTooLarge, ec);
        return 0;
    }
    m_bodyBytes += bytes.size();
    if (!m_request.isBodyDropped)
        m_request.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

std::size_t RequestReader::headMemory() const
{
    return m_request.headers.capacity() * sizeof(Field) + m_fieldMemory + heapBytes(m_request.rawTarget)
        + smallBodyBytes(m_request);
}

std::size_t RequestReader::bodyMemory() const
{
    if (m_request.isBodyDropped)
        return 0;
    const auto announced = content_length();
    const std::size_t bytes = std::max<std::size_t>(announced.value_or(0), m_request.body.capacity());
    return bytes > maxUncountedBodyBytes ? bytes : 0;
}

std::size_t RequestReader::bodyMemoryAfter(std::size_t n) const
{
    const std::size_t capacity = m_request.body.capacity();
    const std::size_t needed = std::min(m_request.body.size() + n, m_mostBodyBytes);
    if (m_request.isBodyDropped || content_length() || needed <= capacity)
        return bodyMemory();
    const std::size_t grown = std::max(needed, std::min(2 * capacity, m_mostBodyBytes));
    return grown > maxUncountedBodyBytes ? grown : 0;
}

void RequestReader::dropBody()
{
    m_request.isBodyDropped = true;
    freeText(m_request.body);
}

std::size_t headMemory(const ServerRequest& request)
{
    return heapBytes(request.headers) + heapBytes(request.query) + heapBytes(request.rawTarget)
        + heapBytes(request.path) + smallBodyBytes(request);
}

AnswerReader::AnswerReader(AnswerSink& sink, bool hasBody)
    : m_sink(sink)
{
    eager(true);
    header_limit(mostAnswerHeadBytes);
    body_limit(noBodyLimit);
    skip(!hasBody);
}

std::size_t AnswerReader::take(std::string_view bytes)
{
    if (is_header_done() && chunked() && !m_hasChunk && isTooShortAsOnlyChunk(bytes))
        return 0;
    ErrorCode ec;
    const std::size_t used = put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    m_problem = problemOf(ec);
    return used;
}

void AnswerReader::takeEnd()
{
    ErrorCode ec;
    // Without a byte of the head there is no answer; the parser must not be told of an end then.
    if (!is_done() && is_header_done())
        put_eof(ec);
}

void AnswerReader::on_response_impl(int status, Text, int, ErrorCode& ec)
{
    m_status = status;
    if (status < leastStatus || status > mostStatus)
        ec = http::error::bad_status;
}

void AnswerReader::on_field_impl(http::field id, Text name, Text value, ErrorCode& ec)
{
    // Callers would get the bytes of another coding as if they were the body.
    if (id == http::field::transfer_encoding && !isSameName(toStd(value), "chunked")) {
        ec = http::error::bad_transfer_encoding;
        return;
    }
    m_headBytes += name.size() + value.size() + fieldOverhead;
    if (m_headBytes > mostAnswerHeadBytes)
        ec = http::error::header_limit;
    else if (!is_header_done())
        m_fields.push_back({ std::string(toStd(name)), std::string(toStd(value)) });
}

void AnswerReader::on_header_impl(ErrorCode&)
{
    if (!isInterim())
        m_sink.onAnswerHead(m_status, m_fields);
}

std::size_t AnswerReader::on_body_impl(Text bytes, ErrorCode& ec)
{
    if (m_sink.onAnswerBody(toStd(bytes)))
        return bytes.size();
    ec = http::error::need_buffer;
    return 0;
}

void decodeTarget(ServerRequest& request)
{
    const std::string_view target = request.rawTarget;
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = percentDecoded(target.substr(0, mark), false);
    std::string_view rest = target.substr(std::min(mark + 1, target.size()));
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view item = rest.substr(0, end);
        const std::size_t equals = std::min(item.find('='), item.size());
        if (!item.empty())
            request.query.push_back({ percentDecoded(item.substr(0, equals), true),
                percentDecoded(item.substr(std::min(equals + 1, item.size())), true) });
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
}

} // namespace sagechute::net
