#pragma once

#include "net/HttpReader.h"
#include "net/Loop.h"

namespace sagechute::net {

/// One transfer of a client: its request's bytes, and what is known of its progress. Used on the loop's thread only.
class ClientTransfer {
public:
    ClientTransfer(TransferId, ClientRequest, std::unique_ptr<TransferSink>);

    TransferId id() const { return m_id; }
    const ClientRequest& request() const { return m_request; }
    const Endpoint& endpoint() const { return m_endpoint; }
    TransferSink& sink() { return *m_sink; }

    /// @return whether the transfer may be carried by this pooled connection.
    bool mayUse(ConnectionId) const;

    /// Forms the bytes of the request.
    /// @return an error when it can't be sent as it is.
    absl::Status prepare();

    /// @return how many bytes the request has, head and body.
    std::size_t size() const { return m_bytes.size() + (m_body ? m_body->size() : 0); }

    /// @return bytes of the request that follow the first @p sent ones, none only after the last.
    std::string_view unsent(std::size_t sent) const;

    /// The connection is there. @return false when the request is not to be sent after all.
    bool isWanted(ConnectionUse);

    /// What is true of the transfer, for how it ends.
    bool mayHaveLeft = false; ///< Some byte of the request may have left.
    bool hasHead = false; ///< The answer's head was delivered.
    int status = 0; ///< Of the answer.
    bool hasBeenRepeated = false; ///< Sent again, as a pooled connection turned out to be closed.
    bool isPaused = false; ///< The sink has refused bytes; silence is its own doing.
    TimePoint lastByteAt;

    Loop::TimerId totalTimer = 0;
    Loop::TimerId silenceTimer = 0;

private:
    absl::Status parseUrl();
    bool appendFields();

    const TransferId m_id;
    ClientRequest m_request;
    std::unique_ptr<TransferSink> m_sink;
    Endpoint m_endpoint;
    std::string m_authority; ///< Host and port as the URL has them.
    std::string m_target;
    std::string m_bytes; ///< The head, with a small body behind it.
    std::shared_ptr<const std::string> m_body; ///< A large one.
    bool m_hasAsked = false;
    bool m_isWanted = true;
};

} // namespace sagechute::net
