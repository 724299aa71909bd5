#pragma once

/// @file
/// Joins what callers were told about each request with how often the targets ran it.

#include "AnswerChecker.h"

#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

namespace sagechute::load {

/// Adds up the run counts of the targets, also over a target's restart.
class RunCounter {
public:
    /// @param target whose counts these are.
    /// @param life a number that changes when the target's process restarts.
    /// @param counts runs by caller tag since the start of that process.
    void record(const std::string& target, std::int64_t life, std::unordered_map<std::string, unsigned> counts);

    /// @return how often a request ran, over all targets.
    unsigned runs(const std::string& tag) const;

private:
    struct Life {
        std::string target;
        std::int64_t number = 0;
        bool operator<(const Life& other) const
        {
            return std::tie(target, number) < std::tie(other.target, other.number);
        }
    };
    std::map<Life, std::unordered_map<std::string, unsigned>> m_counts;
};

/// One request, whole: from the caller's wish to the last thing that it was told.
struct RequestRecord {
    std::string tag; ///< Sent as Sagechute-Caller-Tag with every send.
    CustomerId customer;
    std::string service;
    bool repeatable = true;
    unsigned sends = 0;
    Verdict last;
};

/// The counts of a report.
struct Tally {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refusedNotRun = 0; ///< Includes those that reached no router.
    std::uint64_t unknown = 0; ///< Includes those cut off.
    std::uint64_t cutOff = 0; ///< Ended without an outcome, and no resend told it.
    std::uint64_t incomplete = 0;
    std::uint64_t lost = 0;
    std::uint64_t crossed = 0;
    std::uint64_t malformed = 0;
    std::uint64_t doubled = 0; ///< Not repeatable and run more than once.
    std::uint64_t falseNotRun = 0; ///< Last outcome not-run, but a target ran it.
    /// Last outcome completed, but no target counted a run: a target's counts died with it, or the check itself is
    /// broken.
    std::uint64_t completedUncounted = 0;
    std::uint64_t resends = 0;
    std::uint64_t unreachable = 0;
    Cost cost = 0;
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> refusalsByKind;
    std::vector<std::string> faults; ///< The first few wrong answers, for people.
    std::vector<std::string> doubts; ///< The first few of unknown or incomplete outcome, for people.

    /// Adds one request.
    void add(const RequestRecord&, unsigned runs);

    /// @return whether each answer that came was right, and each promise kept.
    bool right() const { return lost + doubled + crossed + falseNotRun + malformed == 0; }

private:
    void addEnd(const RequestRecord&);
    static void note(std::vector<std::string>& notes, const RequestRecord&, const std::string& what);
};

} // namespace sagechute::load
