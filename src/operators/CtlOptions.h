#pragma once

#include <sagechute/Operators.h>

#include <sagechute/Process.h>

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::operators {

/// How results are printed.
enum class OutputForm { Table, Narrow, Json, Names };

/// The command line of sagechutectl, read.
struct CtlOptions {
    CtlSettings api;
    std::vector<std::string> words; ///< Command and its arguments.
    OutputForm output = OutputForm::Table;
    std::string file; ///< Document to read, "-" for standard input.
    bool wait = false;
    bool undo = false;
    Duration timeout = std::chrono::seconds(30); ///< Longest time for a change and the wait for it.
    std::optional<LogOffset> expected;
    std::optional<LogOffset> from;
    std::uint64_t most = 100; ///< Lines of the audit trail.
    std::uint64_t count = 0; ///< Changes after which a watch ends, 0 for never.

    std::size_t columns() const { return output == OutputForm::Narrow ? narrowWidth : 0; }

    static constexpr std::size_t narrowWidth = 60;
};

/// Reads the command line.
/// @return the exit code when the program is to end at once (help, or a mistake, which has been printed).
std::optional<int> readCtlOptions(const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, CtlOptions&, std::ostream& out, std::ostream& err);

} // namespace sagechute::operators
