#include "net/ClientPool.h"

#include "core/Concat.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>

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

    /// Where perform() waits.
    struct Waiter {
        std::mutex mutex;
        std::condition_variable changed;
        bool ended = false;
        bool tooLarge = false;
        ClientResponse response;
    };

    class WaitingSink final : public TransferSink {
    public:
        explicit WaitingSink(Waiter& waiter)
            : m_waiter(waiter)
        {
        }

    private:
        void onHeaders(int, const std::vector<Field>& fields) override
        {
            std::lock_guard lock(m_waiter.mutex);
            m_waiter.response.headers = fields;
        }

        bool onBody(std::string_view bytes) override
        {
            std::lock_guard lock(m_waiter.mutex);
            auto& body = m_waiter.response.body;
            if (m_waiter.tooLarge)
                return true;
            if (body.size() + bytes.size() > maxWholeAnswerBytes) {
                m_waiter.tooLarge = true;
                m_waiter.changed.notify_all();
                return true;
            }
            body += bytes;
            return true;
        }

        void onEnd(const TransferResult& result) override
        {
            // Notified under the mutex: the waiter lives on the stack of perform(), which may return once it is
            // unlocked.
            std::lock_guard lock(m_waiter.mutex);
            m_waiter.response.result = result;
            m_waiter.ended = true;
            m_waiter.changed.notify_all();
        }

        Waiter& m_waiter;
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

ClientResponse HttpClient::perform(ClientRequest request)
{
    Waiter waiter;
    auto id = start(std::move(request), std::make_unique<WaitingSink>(waiter));
    std::unique_lock lock(waiter.mutex);
    waiter.changed.wait(lock, [&] { return waiter.ended || waiter.tooLarge; });
    if (waiter.tooLarge) {
        cancel(id);
        waiter.changed.wait(lock, [&] { return waiter.ended; });
        auto detail = concat("the answer is larger than ", maxWholeAnswerBytes, " bytes");
        waiter.response.result = { TransferEnd::BrokenAfterSend, waiter.response.result.httpStatus, std::move(detail) };
    }
    return std::move(waiter.response);
}

} // namespace sagechute::net
