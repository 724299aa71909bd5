#pragma once

/// @file
/// Requests and answers out of the bytes of a connection, by Boost.Beast's parser. It is strict where two parsers in a
/// row could see different messages: two lengths, a length beside chunks, line ends without a carriage return.

#include <sagechute/Net.h>

#include <boost/beast/http/basic_parser.hpp>

namespace sagechute::net {

/// What stops a message from being read on.
enum class ReadProblem {
    None,
    Malformed,
    AmbiguousLength, ///< Its body's length is announced in more than one way.
    HeadersTooLarge,
    BodyTooLarge,
    FramingTooLarge, ///< The head of a chunk, or all trailers.
    SinkIsFull, ///< The bytes that were not taken are to be given again.
};

/// Limit on the head of a chunk with its extensions, and on all trailers. They are kept until they are complete.
inline constexpr std::size_t maxFramingBytes = 16 << 10;

/// @return the memory that a request takes beside a large body, which counts by itself.
std::size_t headMemory(const ServerRequest&);

/// One request on its way in.
class RequestReader final : private boost::beast::http::basic_parser<true> {
public:
    explicit RequestReader(std::size_t mostBodyBytes);

    /// @return how many bytes belong to this request; the rest is to be given again with more, unless it is done.
    std::size_t take(std::string_view bytes);

    ReadProblem problem() const { return m_problem; }
    bool isDone() const { return is_done(); }
    bool hasHead() const { return is_header_done(); }
    bool keepsConnection() const { return keep_alive(); }
    bool isOldVersion() const { return m_version < 11; } ///< HTTP/1.0: knows no chunks.

    /// @return whether the caller waits for leave to send the body.
    bool expectsContinue() const { return m_expectsContinue; }

    /// @return the memory of what has been read of the request, but for a large body.
    std::size_t headMemory() const;

    /// @return the memory for the body: of its announced length, or, in chunks, of what has come; 0 if it is dropped.
    std::size_t bodyMemory() const;

    /// @return the memory that bodyMemory() may become when the next @p n bytes are taken.
    std::size_t bodyMemoryAfter(std::size_t n) const;

    /// Allocates memory for the body, which otherwise is copied several times as it grows.
    void allocateBody(std::size_t bytes) { m_request.body.reserve(bytes); }

    /// Reads the body without keeping it.
    void dropBody();
    bool isBodyDropped() const { return m_request.isBodyDropped; }
    ServerRequest takeRequest() { return std::move(m_request); }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text method, Text target, int version, ErrorCode&) override;
    void on_response_impl(int, Text, int, ErrorCode&) override { }
    void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode&) override;
    void on_header_impl(ErrorCode&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override { }
    std::size_t on_body_impl(Text bytes, ErrorCode&) override;
    void on_chunk_header_impl(std::uint64_t size, Text, ErrorCode&) override { m_hasChunk |= size > 0; }
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode& ec) override
    {
        return on_body_impl(bytes, ec);
    }
    void on_finish_impl(ErrorCode&) override { }

    void fail(ReadProblem, ErrorCode&);

    const std::size_t m_mostBodyBytes;
    ServerRequest m_request;
    std::size_t m_bodyBytes = 0; ///< Read.
    std::size_t m_fieldMemory = 0; ///< Of the texts in m_request.headers.
    ReadProblem m_problem = ReadProblem::None;
    std::size_t m_headBytes = 0;
    unsigned m_lengths = 0; ///< Fields that announce the body's length.
    bool m_hasForeignCoding = false; ///< A transfer coding besides chunks.
    bool m_expectsContinue = false;
    bool m_hasChunk = false; ///< Besides the last one, which is empty.
    int m_version = 0;
};

/// Receives an answer as it is read.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;
    virtual void onAnswerHead(int status, const std::vector<Field>&) = 0;

    /// @return false to be given the same bytes again; nothing was consumed.
    virtual bool onAnswerBody(std::string_view) = 0;
};

/// One answer on its way in, interim ones (1xx) before it left out.
class AnswerReader final : private boost::beast::http::basic_parser<false> {
public:
    /// @param hasBody false for an answer to a HEAD request.
    AnswerReader(AnswerSink&, bool hasBody);

    /// @return how many bytes belong to this answer; the rest is to be given again with more, unless it is done.
    std::size_t take(std::string_view bytes);

    /// The connection has ended properly; an answer without length ends with it.
    void takeEnd();

    ReadProblem problem() const { return m_problem; }
    bool isDone() const { return is_done(); }
    bool isInterim() const { return m_status >= 100 && m_status < 200; }
    bool hasHead() const { return is_header_done(); }
    bool keepsConnection() const { return keep_alive(); }

    /// @return whether nothing but the end of the connection ends the body.
    bool endsWithConnection() const { return need_eof(); }
    int status() const { return m_status; }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode&) override { }
    void on_response_impl(int status, Text, int, ErrorCode& ec) override;
    void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode&) override;
    void on_header_impl(ErrorCode&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override { }
    std::size_t on_body_impl(Text bytes, ErrorCode&) override;
    void on_chunk_header_impl(std::uint64_t size, Text, ErrorCode&) override { m_hasChunk |= size > 0; }
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode& ec) override
    {
        return on_body_impl(bytes, ec);
    }
    void on_finish_impl(ErrorCode&) override { }

    AnswerSink& m_sink;
    std::vector<Field> m_fields;
    std::size_t m_headBytes = 0;
    ReadProblem m_problem = ReadProblem::None;
    bool m_hasChunk = false; ///< Besides the last one, which is empty.
    int m_status = 0;
};

/// Splits a request's target as sent into its decoded path and query.
void decodeTarget(ServerRequest&);

} // namespace sagechute::net
