#include "net/CurlWorker.h"

#include "core/Concat.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>

namespace sagechute::net {

namespace {

    constexpr std::size_t maxWholeAnswerBytes = 64 << 20;

    class CurlClient final : public HttpClient {
    public:
        explicit CurlClient(std::vector<std::unique_ptr<CurlWorker>> workers)
            : m_workers(std::move(workers))
        {
        }

        ~CurlClient() override
        {
            // All are stopped before the first is destroyed: a sink may start a transfer on another worker from its
            // end.
            for (const auto& worker : m_workers)
                worker->stop();
        }

        TransferId start(ClientRequest request, std::unique_ptr<TransferSink> sink) override
        {
            auto id = ++m_lastId;
            worker(id).start(id, std::move(request), std::move(sink));
            return id;
        }

        void cancel(TransferId id) override { worker(id).cancel(id); }
        void resume(TransferId id) override { worker(id).resume(id); }

    private:
        CurlWorker& worker(TransferId id) { return *m_workers[id % m_workers.size()]; }

        std::vector<std::unique_ptr<CurlWorker>> m_workers;
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

    bool initializeCurlOnce()
    {
        static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
        return code == CURLE_OK;
    }

} // namespace

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::make(const ClientOptions& options)
{
    if (!initializeCurlOnce()) {
        return makeError(
            ErrorKind::Internal, "libcurl can't be initialised", "Check the installation of libcurl on this VM");
    }
    std::vector<std::unique_ptr<CurlWorker>> workers;
    for (unsigned i = 0; i < std::max(1U, options.threads); ++i) {
        auto worker = CurlWorker::make(options);
        if (!worker.ok())
            return worker.status();
        workers.push_back(std::move(*worker));
    }
    return std::make_unique<CurlClient>(std::move(workers));
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
