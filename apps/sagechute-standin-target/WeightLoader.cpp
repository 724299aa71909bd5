#include "WeightLoader.h"

#include <sagechute/Process.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace sagechute::standin {
namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds askTimeout = 5s;
    constexpr Duration retryWait = 500ms;

    std::chrono::seconds retryAfter(const net::ClientResponse& response)
    {
        std::uint32_t seconds = 1;
        if (const auto text = net::findField(response.headers, "Retry-After"))
            std::from_chars(text->data(), text->data() + text->size(), seconds);
        return std::chrono::seconds(seconds);
    }

} // namespace

absl::StatusOr<std::unique_ptr<WeightLoader>> WeightLoader::make(const WeightLoaderOptions& options)
{
    std::unique_ptr<net::HttpClient> client;
    if (!options.platform.empty()) {
        auto made = net::HttpClient::make({});
        if (!made.ok())
            return made.status();
        client = std::move(*made);
    }
    return std::unique_ptr<WeightLoader>(new WeightLoader(options, std::move(client)));
}

WeightLoader::WeightLoader(WeightLoaderOptions options, std::unique_ptr<net::HttpClient> client)
    : m_options(std::move(options))
    , m_client(std::move(client))
    , m_thread([this] { run(); })
{
}

WeightLoader::~WeightLoader()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void WeightLoader::request(const WeightLoad& load, Finished finished)
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = Wanted { load, std::move(finished) };
    }
    m_changed.notify_one();
}

void WeightLoader::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
        m_changed.wait(lock, [this] { return interrupted(); });
        if (!m_wanted)
            continue;
        const Wanted wanted = std::move(*m_wanted);
        m_wanted.reset();
        carryOut(wanted, lock);
    }
}

void WeightLoader::carryOut(const Wanted& wanted, std::unique_lock<std::mutex>& lock)
{
    for (;;) {
        lock.unlock();
        const Grant grant = ask(wanted.load);
        lock.lock();
        if (m_changed.wait_for(lock, grant.wait, [this] { return interrupted(); }))
            return;
        if (!grant.granted)
            continue;
        lock.unlock();
        wanted.finished(wanted.load);
        lock.lock();
        return;
    }
}

WeightLoader::Grant WeightLoader::ask(const WeightLoad& load)
{
    if (!m_client)
        return { true, m_options.loadTime };
    net::ClientRequest request;
    request.method = "POST";
    request.url = m_options.platform + "/v1/weights/loads";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = json { { "target", m_options.target }, { "model", load.model }, { "version", load.version } }.dump();
    request.totalTimeout = askTimeout;
    const net::ClientResponse response = m_client->perform(std::move(request));
    if (response.result.httpStatus == 429)
        return { false, retryAfter(response) };
    const auto document = parseJsonStrictly(response.body);
    if (response.result.httpStatus == 200 && document.ok() && document->is_object())
        return { true, std::chrono::milliseconds(document->value("grantedMs", std::uint32_t { 0 })) };
    process::log(process::LogLevel::Warning, "load-not-granted",
        { { "status", std::to_string(response.result.httpStatus) }, { "detail", response.result.detail } });
    return { false, retryWait };
}

} // namespace sagechute::standin
