#pragma once

#include <sagechute/Net.h>
#include <sagechute/Standin.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace sagechute::standin {

/// Where weights come from.
struct WeightLoaderOptions {
    std::string platform; ///< URL of the platform's weight store; empty: every load is granted.
    std::string target; ///< Name by which the target asks.
    Duration loadTime { 1'000'000 }; ///< How long a load takes without a platform.
};

/// Carries out one load after the other on its own thread; a later load replaces one that isn't finished.
class WeightLoader {
public:
    using Finished = std::function<void(const WeightLoad&)>;

    static absl::StatusOr<std::unique_ptr<WeightLoader>> make(const WeightLoaderOptions&);
    ~WeightLoader();
    WeightLoader(const WeightLoader&) = delete;
    WeightLoader& operator=(const WeightLoader&) = delete;

    /// @param finished called on the loader's thread when the weights are there.
    void request(const WeightLoad&, Finished finished);

private:
    WeightLoader(WeightLoaderOptions, std::unique_ptr<net::HttpClient>);

    struct Wanted {
        WeightLoad load;
        Finished finished;
    };

    struct Grant {
        bool granted = false;
        Duration wait {}; ///< How long the load takes, or until it is worth asking again.
    };

    void run();
    void carryOut(const Wanted&, std::unique_lock<std::mutex>&);
    Grant ask(const WeightLoad&);
    bool interrupted() const { return m_ending || m_wanted.has_value(); }

    WeightLoaderOptions m_options;
    std::unique_ptr<net::HttpClient> m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<Wanted> m_wanted;
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace sagechute::standin
