#include <sagechute/Operators.h>

#include <cassert>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sagechute::operators {
namespace {

    constexpr std::chrono::milliseconds connectTimeout { 2000 };
    constexpr std::chrono::milliseconds callTimeout { 40'000 }; ///< Above the API's longest wait.
    constexpr std::chrono::milliseconds streamSilence { 15'000 }; ///< Three heartbeats of a watch.

    /// State of one streamed answer, for the thread that waits.
    struct StreamState {
        std::mutex mutex;
        std::condition_variable changed;
        bool isEnough = false; ///< The reader wants no more.
        bool isEnded = false;
        ApiAnswer answer;
    };

    class StreamSink final : public net::TransferSink {
    public:
        StreamSink(const std::function<bool(std::string_view)>& reader, StreamState& state)
            : m_reader(reader)
            , m_state(state)
        {
        }

    private:
        void onHeaders(int status, const std::vector<net::Field>&) override { m_status = status; }

        bool onBody(std::string_view bytes) override
        {
            if (m_status != 200) {
                m_body += bytes;
                return true;
            }
            if (m_isEnough || m_reader(bytes))
                return true;
            m_isEnough = true;
            const std::lock_guard lock(m_state.mutex);
            m_state.isEnough = true;
            m_state.changed.notify_all();
            return true;
        }

        void onEnd(const net::TransferResult& result) override
        {
            const std::lock_guard lock(m_state.mutex);
            const bool nothingSent = result.end == net::TransferEnd::NothingSent;
            m_state.answer = { result.httpStatus, std::move(m_body), nothingSent, result.detail };
            m_state.isEnded = true;
            m_state.changed.notify_all();
        }

        const std::function<bool(std::string_view)>& m_reader;
        StreamState& m_state;
        int m_status = 0;
        bool m_isEnough = false;
        std::string m_body;
    };

    class HttpApiPort final : public ApiPort {
    public:
        HttpApiPort(const CtlSettings& settings, std::unique_ptr<net::HttpClient> client)
            : m_urls(settings.apiUrls)
            , m_key(settings.operatorKey)
            , m_client(std::move(client))
        {
            assert(!m_urls.empty());
        }

    private:
        net::ClientRequest makeRequest(
            const std::string& url, const std::string& method, const std::string& target) const
        {
            net::ClientRequest request;
            request.method = method;
            request.url = url + target;
            request.headers = { { "Authorization", "Bearer " + m_key }, { "Content-Type", "application/json" } };
            request.connectTimeout = connectTimeout;
            return request;
        }

        ApiAnswer onCall(const std::string& method, const std::string& target, const std::string& body) override
        {
            ApiAnswer answer;
            for (const std::string& url : m_urls) {
                net::ClientRequest request = makeRequest(url, method, target);
                request.body = body;
                request.totalTimeout = callTimeout;
                const net::ClientResponse response = m_client->perform(std::move(request));
                const bool isWhole = net::isUncut(response.result.end);
                const bool nothingSent = response.result.end == net::TransferEnd::NothingSent;
                answer
                    = { isWhole ? response.result.httpStatus : 0, response.body, nothingSent, response.result.detail };
                if (!nothingSent)
                    return answer;
            }
            return answer;
        }

        ApiAnswer onStream(const std::string& target, const std::function<bool(std::string_view)>& reader) override
        {
            ApiAnswer answer;
            for (const std::string& url : m_urls) {
                answer = streamFrom(url, target, reader);
                if (!answer.nothingSent)
                    return answer;
            }
            return answer;
        }

        ApiAnswer streamFrom(
            const std::string& url, const std::string& target, const std::function<bool(std::string_view)>& reader)
        {
            StreamState state;
            net::ClientRequest request = makeRequest(url, "GET", target);
            request.silenceTimeout = streamSilence;
            const net::TransferId id = m_client->start(std::move(request), std::make_unique<StreamSink>(reader, state));
            std::unique_lock lock(state.mutex);
            state.changed.wait(lock, [&] { return state.isEnough || state.isEnded; });
            if (!state.isEnded) {
                lock.unlock();
                m_client->cancel(id);
                lock.lock();
                state.changed.wait(lock, [&] { return state.isEnded; });
            }
            return state.answer;
        }

        void onPause(std::chrono::milliseconds time) override { std::this_thread::sleep_for(time); }
        TimePoint onNow() override { return steadyNow(); }

        const std::vector<std::string> m_urls;
        const std::string m_key;
        const std::unique_ptr<net::HttpClient> m_client;
    };

    /// Stands in when no client could be made: every call says why.
    class BrokenApiPort final : public ApiPort {
    public:
        explicit BrokenApiPort(std::string why)
            : m_why(std::move(why))
        {
        }

    private:
        ApiAnswer onCall(const std::string&, const std::string&, const std::string&) override
        {
            return { 0, {}, true, m_why };
        }
        ApiAnswer onStream(const std::string&, const std::function<bool(std::string_view)>&) override
        {
            return { 0, {}, true, m_why };
        }
        void onPause(std::chrono::milliseconds time) override { std::this_thread::sleep_for(time); }
        TimePoint onNow() override { return steadyNow(); }

        const std::string m_why;
    };

} // namespace

std::unique_ptr<ApiPort> makeHttpApiPort(const CtlSettings& settings)
{
    auto client = net::HttpClient::make({});
    if (!client.ok())
        return std::make_unique<BrokenApiPort>(std::string(client.status().message()));
    return std::make_unique<HttpApiPort>(settings, *std::move(client));
}

} // namespace sagechute::operators
