#include "Report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

namespace sagechute::load {

namespace {

    using nlohmann::json;

    /// @return the number with @p digits behind the point, or "-" for null.
    std::string number(const json& value, int digits = 0, double scale = 1)
    {
        if (!value.is_number())
            return "-";
        std::ostringstream text;
        text << std::fixed << std::setprecision(digits) << value.get<double>() * scale;
        return text.str();
    }

    void printLine(
        std::ostream& out, const std::string& name, const std::string& value, const std::string& meaning = {})
    {
        out << "  " << std::left << std::setw(26) << name << std::right << std::setw(12) << value << "  " << meaning
            << '\n';
    }

    void printEnds(std::ostream& out, const json& report)
    {
        printLine(out, "requests", number(report["requests"]), "each checked byte for byte");
        printLine(out, "completed", number(report["completed"]), "whole and right");
        printLine(out, "refused, not run", number(report["refusedNotRun"]), "truthfully told that it did not run");
        printLine(
            out, "unknown", number(report["unknown"]), number(report["cutOff"]) + " of them cut off without a word");
        printLine(out, "incomplete", number(report["incomplete"]), "explicit end of a broken stream");
        printLine(out, "sent again", number(report["resends"]), "same session and sequence, or next address");
        const std::string wrong = "must be 0";
        printLine(out, "lost", number(report["lost"]), wrong);
        printLine(out, "crossed", number(report["crossed"]), wrong);
        printLine(out, "doubled", number(report["doubled"]), wrong);
        printLine(out, "false not-run", number(report["falseNotRun"]), wrong);
        printLine(out, "against the protocol", number(report["malformed"]), wrong);
        for (const auto& it : report["refusalsByKind"].items())
            printLine(out, "  kind " + it.key(), number(it.value()));
    }

    void printMeasures(std::ostream& out, const json& report)
    {
        constexpr double percent = 100;
        constexpr double mebibytes = 1.0 / (1 << 20);
        for (const json& pool : report["pools"]) {
            const std::string name = pool["pool"].get<std::string>();
            printLine(out, "fairness gap, " + name, number(pool["fairnessGapMax"], 1),
                "bound " + number(pool["fairnessGapBound"], 1) + ", over " + number(pool["pairBackloggedSeconds"], 1)
                    + " s");
            printLine(out, "utilisation, " + name, number(pool["utilisation"], 1, percent) + " %",
                number(pool["idleWhileWaitingSeconds"], 2) + " slot-seconds idle while work waited");
        }
        printLine(
            out, "control bytes/s, most", number(report["controlBytesPerSecondMax"]), "of one router, both directions");
        printLine(out, "control share of a core", number(report["controlCpuFractionMax"], 2, percent) + " %",
            "of one router");
        printLine(out, "router memory, most", number(report["residentBytesMax"], 1, mebibytes) + " MiB");
        printLine(out, "first token p95", number(report["firstTokenMsP95"], 1) + " ms");
        printLine(out, "token gap p95", number(report["tokenGapMsP95"], 1) + " ms");
        if (report["configInForceMsMax"].is_number())
            printLine(out, "change in force after", number(report["configInForceMsMax"], 0) + " ms", "on every router");
        if (report["newWorkAfterLeaveMs"].is_number())
            printLine(out, "new work after leave", number(report["newWorkAfterLeaveMs"], 0) + " ms",
                "last start at the leaving target");
    }

    /// @return each customer's service over all, in per cent, by pool; pools count in units of their own.
    double shareOf(const json& report, const json& row, const std::string& pool)
    {
        double sum = 0;
        for (const json& it : report["customers"])
            sum += it["service"].value(pool, 0.0);
        return sum > 0 ? row["service"].value(pool, 0.0) / sum : 0;
    }

    void printCustomers(std::ostream& out, const json& report)
    {
        out << "  " << std::left << std::setw(20) << "customer" << std::right << std::setw(7) << "weight"
            << std::setw(9) << "requests" << std::setw(8) << "answers" << std::setw(8) << "refused" << std::setw(9)
            << "p95 ms";
        for (const json& pool : report["pools"])
            out << ' ' << std::setw(7) << pool["pool"].get<std::string>().substr(0, 5) + " %";
        out << '\n';
        for (const json& row : report["customers"]) {
            out << "  " << std::left << std::setw(20) << row["customer"].get<std::string>().substr(0, 19) << std::right
                << std::setw(7) << number(row["weight"], 1) << std::setw(9) << number(row["requests"]) << std::setw(8)
                << number(row["completed"]) << std::setw(8) << number(row["refusedNotRun"]) << std::setw(9)
                << number(row["waitMsP95"], 1);
            for (const json& pool : report["pools"])
                out << ' ' << std::setw(7) << number(shareOf(report, row, pool["pool"].get<std::string>()), 1, 100);
            out << '\n';
        }
    }

} // namespace

void printTable(std::ostream& out, const json& report)
{
    out << "\nScenario " << report["scenario"].get<std::string>() << ", deployment "
        << report["deployment"].get<std::string>() << ", policy " << report["policy"].get<std::string>() << ", "
        << number(report["routers"]) << " routers, seed " << number(report["seed"]) << ", "
        << number(report["elapsedSeconds"], 1) << " s\n\n";
    printEnds(out, report);
    out << '\n';
    printMeasures(out, report);
    out << '\n';
    printCustomers(out, report);
    for (const json& it : report["faults"])
        out << "  wrong: " << it.get<std::string>().substr(0, 160) << '\n';
    out << '\n'
        << (report["right"].get<bool>() ? "Every answer was checked and right." : "SOME ANSWER OR PROMISE WAS WRONG.")
        << '\n';
}

} // namespace sagechute::load
