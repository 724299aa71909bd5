#pragma once

/// @file
/// What every daemon and tool shares: checked settings, structured logs, metrics and the planned stop.

#include <sagechute/Core.h>

#include <prometheus/registry.h>

#include <functional>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::process {

/// Exit code of a process whose settings or arguments are wrong.
inline constexpr int exitUsage = 2;

/// @return the release of this build, such as "0.1.0".
std::string_view version();

/// Declares a program's settings and reads them from flags and SAGECHUTE_* environment variables (a flag goes first).
/// The variable of "--vm-id" is SAGECHUTE_VM_ID. An unknown flag, an unknown SAGECHUTE_* variable, or a value that does
/// not parse is an error that names the setting and the remedy. --help, --version and --print-settings come for free.
class Settings {
public:
    Settings(std::string program, std::string summary);
    ~Settings();
    Settings(Settings&&) noexcept;
    Settings& operator=(Settings&&) noexcept;

    /// Each declares one setting bound to @p out, which holds the default.
    Settings& text(std::string_view name, std::string& out, std::string_view help);
    Settings& requiredText(std::string_view name, std::string& out, std::string_view help);
    Settings& secret(
        std::string_view name, std::string& out, std::string_view help); ///< Environment only; masked when printed.
    Settings& flag(std::string_view name, bool& out, std::string_view help);
    Settings& count(
        std::string_view name, std::uint64_t& out, std::uint64_t least, std::uint64_t most, std::string_view help);
    Settings& real(std::string_view name, double& out, double least, double most, std::string_view help);
    /// Written with a unit: "250us", "200ms", "3s", "5m".
    Settings& duration(std::string_view name, Duration& out, Duration least, Duration most, std::string_view help);
    Settings& list(
        std::string_view name, std::vector<std::string>& out, std::string_view help); ///< Comma-separated or repeated.
    Settings& positional(std::string_view name, std::vector<std::string>& out, std::string_view help);

    /// An empty value of the last declared setting in the settings file leaves its default in force. For settings that
    /// a template fills in and that some deployments don't have.
    Settings& emptyIsDefault();

    /// Names the variable that holds the path of a settings file, with lines "NAME=VALUE" of the same names as the
    /// flags. Flags and other variables go before it. A secret may not stand in it.
    Settings& fileVariable(std::string_view variable);

    /// Adds a check over several settings, run after all have been read.
    Settings& check(std::function<absl::Status()> rule);

    /// Reads the settings of this process. On --help, --version, --print-settings prints to stdout and returns exit
    /// code 0; on an error prints it with its remedy to stderr and returns exitUsage; else returns nullopt and the
    /// program goes on.
    std::optional<int> read(int argc, const char* const* argv);

    /// Same, without touching the process: for tests.
    /// @param arguments without the program's own name.
    /// @param environment "NAME=value" texts; only those of SAGECHUTE_* are looked at.
    std::optional<int> read(const std::vector<std::string>& arguments, const std::vector<std::string>& environment,
        std::ostream& out, std::ostream& err);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads "250us", "200ms", "3s" or "5m"; the number is whole and not negative, and only "0" needs no unit.
/// @return the duration, or BadRequest with the remedy.
absl::StatusOr<Duration> parseDuration(std::string_view text);

/// @return the text that parseDuration() reads back, in the largest unit that is exact.
std::string formatDuration(Duration);

/// One named value of a log event.
struct LogField {
    std::string_view name;
    std::string value;
};

/// Weight of a log event.
enum class LogLevel { Debug, Info, Warning, Error };

/// How much a process may log.
struct StreamLimits {
    unsigned linesPerSecond = 2000; ///< Above it lines are dropped and counted.
};

/// @return lines dropped since the start, because there were too many or because nobody read them.
std::uint64_t droppedLogLines();

/// Sets up log4cplus: one event a line on stdout, with time, level, program, VM and incarnation. A line that can't be
/// written at once is dropped and counted, so that a reader that stands still can't hold up a request; the next one
/// that is written tells how many were lost. Events logged before are lost.
/// @param level "debug", "info", "warning" or "error".
/// @param vm left out of the lines, with the incarnation, when empty.
/// @return BadRequest for another level.
absl::Status startLogging(std::string_view program, std::string_view level, const VmId& vm, Incarnation incarnation,
    const StreamLimits& limits = {});

/// Writes one event as "event name=value ...", values quoted where needed.
void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

/// Has the allocator give freed memory back to the system, so that the memory of a process follows what it holds. Call
/// it before any thread starts.
void limitFreedMemory();

/// @return how many descriptors the process may have open.
std::size_t maxDescriptors();

/// The process's metrics and their text form for /metrics.
class Metrics {
public:
    Metrics();

    /// @return where families of counters, gauges and histograms are registered; safe from any thread.
    prometheus::Registry& registry() { return *m_registry; }

    /// @return all metrics in the Prometheus text format.
    std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

/// Resident memory and processor time of this process, from /proc/self.
struct Usage {
    std::uint64_t residentBytes = 0;
    Duration processorTime {}; ///< User and system time of all threads since the start.
};

/// @return this process's usage now; zeros where /proc/self cannot be read.
Usage usage();

/// Turns SIGTERM and SIGINT into a planned stop and SIGHUP into a request to reload, and ignores SIGPIPE. Make it
/// before any thread starts, hence also before startLogging(): threads inherit the blocked signals.
class StopSignal {
public:
    StopSignal();
    ~StopSignal();
    StopSignal(const StopSignal&) = delete;
    StopSignal& operator=(const StopSignal&) = delete;

    /// Waits until a signal comes or @p most has passed.
    /// @return true when the process has been asked to stop; once true it stays so.
    bool wait(Duration most);

    /// @return whether SIGHUP came since the last call: the settings may have changed.
    bool takeReload();

private:
    int m_descriptor = -1;
    int m_reloadDescriptor = -1;
};

} // namespace sagechute::process
