#include "net/ClientPool.h"

#include "core/Concat.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <optional>

namespace sagechute::net {

namespace {

    constexpr std::size_t maxWholeAnswerBytes = 64 << 20;

    /// HttpClient over its parts.
    class ClientOverLoops final : public HttpClient {
    public:
        ClientOverLoops(std::vector<std::unique_ptr<Loop>> own, const std::vector<Loop*>& loops, ClientOptions options)
            : m_ownLoops(std::move(own))
        {
            options.maxPooledConnections = std::max<unsigned>(1, options.maxPooledConnections / loops.size());
            for (Loop* it : loops)
                it->postAndWait([&] { m_parts.push_back(std::make_unique<ClientPool>(*it, options)); });
        }

        ~ClientOverLoops() override
        {
            for (auto& part : m_parts)
                part->loop().postAndWait([&] { part.reset(); });
        }

        TransferId start(ClientRequest request, std::unique_ptr<TransferSink> sink) override
        {
            const TransferId id = ++m_lastId;
            part(id).start(id, std::move(request), std::move(sink));
            return id;
        }

        void cancel(TransferId id) override { part(id).cancel(id); }
        void resume(TransferId id) override { part(id).resume(id); }

    private:
        ClientPool& part(TransferId id) { return *m_parts[id % m_parts.size()]; }

        const std::vector<std::unique_ptr<Loop>> m_ownLoops;
        std::vector<std::unique_ptr<ClientPool>> m_parts;
        std::atomic<TransferId> m_lastId = 0;
    };

    /// Collects a whole answer and hands it over once: at the transfer's end, or when it has grown too large, after
    /// which the rest is dropped as it comes.
    class CollectingSink final : public TransferSink {
    public:
        explicit CollectingSink(AnswerHandler handler)
            : m_handler(std::move(handler))
        {
        }

    private:
        void onHeaders(int status, const std::vector<Field>& fields) override
        {
            m_response.result.httpStatus = status;
            m_response.headers = fields;
        }

        bool onBody(std::string_view bytes) override
        {
            if (m_isHandedOver)
                return true;
            if (m_response.body.size() + bytes.size() <= maxWholeAnswerBytes) {
                m_response.body += bytes;
                return true;
            }
            auto detail = concat("the answer is larger than ", maxWholeAnswerBytes, " bytes");
            handOver({ TransferEnd::BrokenAfterSend, m_response.result.httpStatus, std::move(detail) });
            return true;
        }

        void onEnd(const TransferResult& result) override
        {
            if (!m_isHandedOver)
                handOver(result);
        }

        void handOver(TransferResult result)
        {
            m_isHandedOver = true;
            m_response.result = std::move(result);
            m_handler(std::move(m_response));
        }

        const AnswerHandler m_handler;
        ClientResponse m_response;
        bool m_isHandedOver = false;
    };

    /// Where perform() waits.
    struct Waiter {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<ClientResponse> response;
    };

} // namespace

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::make(const ClientOptions& options)
{
    std::vector<std::unique_ptr<Loop>> own;
    std::vector<Loop*> loops;
    if (options.loop) {
        loops.push_back(static_cast<Loop*>(options.loop));
    } else {
        for (unsigned i = 0; i < std::max(1U, options.threads); ++i) {
            auto loop = Loop::make();
            if (!loop.ok())
                return loop.status();
            loops.push_back(loop->get());
            own.push_back(std::move(*loop));
        }
    }
    return std::make_unique<ClientOverLoops>(std::move(own), loops, options);
}

TransferId HttpClient::collect(ClientRequest request, AnswerHandler handler)
{
    return start(std::move(request), std::make_unique<CollectingSink>(std::move(handler)));
}

ClientResponse HttpClient::perform(ClientRequest request)
{
    Waiter waiter;
    const TransferId id = collect(std::move(request), [&waiter](ClientResponse response) {
        // Notified under the mutex: the waiter lives on the stack of perform(), which may return once it is unlocked.
        std::lock_guard lock(waiter.mutex);
        waiter.response = std::move(response);
        waiter.changed.notify_all();
    });
    std::unique_lock lock(waiter.mutex);
    waiter.changed.wait(lock, [&] { return waiter.response.has_value(); });
    // One that is too large has not ended yet.
    if (!isUncut(waiter.response->result.end))
        cancel(id);
    return std::move(*waiter.response);
}

} // namespace sagechute::net
