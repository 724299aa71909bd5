#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::load {

namespace {

    using nlohmann::json;

    constexpr double ninetyFifth = 0.95;

    json milliseconds(std::optional<Duration> duration)
    {
        if (!duration)
            return nullptr;
        return std::chrono::duration<double, std::milli>(*duration).count();
    }

    json numberOrNull(bool measured, double value) { return measured ? json(value) : json(nullptr); }

    json tallyDocument(const Tally& tally)
    {
        return { { "requests", tally.requests }, { "completed", tally.completed },
            { "refusedNotRun", tally.refusedNotRun }, { "unknown", tally.unknown }, { "incomplete", tally.incomplete },
            { "lost", tally.lost }, { "doubled", tally.doubled }, { "crossed", tally.crossed },
            { "falseNotRun", tally.falseNotRun }, { "malformed", tally.malformed }, { "cutOff", tally.cutOff },
            { "resends", tally.resends }, { "unreachable", tally.unreachable },
            { "completedUncounted", tally.completedUncounted }, { "tokens", tally.tokens }, { "cost", tally.cost },
            { "refusalsByKind", tally.refusalsByKind }, { "faults", tally.faults }, { "doubts", tally.doubts } };
    }

    json customerRows(const ReportInput& input)
    {
        json rows = json::array();
        for (const CustomerPlan& customer : input.plan.customers) {
            const auto tally = input.byCustomer.find(customer.id);
            json row = tally == input.byCustomer.end() ? tallyDocument({}) : tallyDocument(tally->second);
            row["customer"] = customer.id.value;
            row["weight"] = customer.weight;
            const auto waits = input.callers.findings().waits.find(customer.id);
            const bool measured = waits != input.callers.findings().waits.end();
            row["waitMsP50"] = measured ? milliseconds(waits->second.at(0.5)) : json(nullptr);
            row["waitMsP95"] = measured ? milliseconds(waits->second.at(ninetyFifth)) : json(nullptr);
            row["service"] = json::object();
            for (const auto& pool : input.sampler.pools()) {
                const auto service = pool.second.service.find(customer.id);
                if (service != pool.second.service.end())
                    row["service"][pool.first.value] = service->second.total();
            }
            rows.push_back(std::move(row));
        }
        return rows;
    }

    json poolRow(const PoolId& id, const PoolFindings& pool)
    {
        const PoolMeter& meter = pool.meter;
        const bool compared = meter.pairBackloggedTime() > Duration::zero();
        const bool waited = meter.slotSecondsWhileWaiting() > 0;
        return { { "pool", id.value }, { "fairnessGapMax", numberOrNull(compared, meter.gap()) },
            { "fairnessGapAnyIntervalMax", numberOrNull(compared, meter.gapOverAnyInterval()) },
            { "worstPair", meter.worstPair() },
            { "fairnessGapBound", numberOrNull(pool.routerBound > 0, pool.routerBound) },
            { "routerFairnessGapMax", pool.routerGapMax },
            { "pairBackloggedSeconds", std::chrono::duration<double>(meter.pairBackloggedTime()).count() },
            { "utilisation",
                numberOrNull(waited, meter.busySlotSecondsWhileWaiting() / meter.slotSecondsWhileWaiting()) },
            { "slotSecondsWhileWaiting", meter.slotSecondsWhileWaiting() },
            { "idleWhileWaitingSeconds", meter.idleSlotSecondsWhileWaiting() } };
    }

    json routerRow(const std::string& vm, const RouterFindings& router)
    {
        const double seconds = router.sampledSeconds;
        json byPurpose = json::object();
        for (const auto& it : router.controlBytesByPurpose)
            byPurpose[it.first] = seconds > 0 ? it.second.total() / seconds : 0;
        return { { "vm", vm },
            { "controlBytesPerSecond", numberOrNull(seconds > 0, router.controlBytes.total() / seconds) },
            { "controlBytesPerSecondPeak", router.peakControlBytesPerSecond },
            { "controlBytesPerSecondByPurpose", std::move(byPurpose) },
            { "controlCpuFraction", numberOrNull(seconds > 0, router.coreCpuSeconds.total() / seconds) },
            { "processCpuFraction", numberOrNull(seconds > 0, router.processCpuSeconds.total() / seconds) },
            { "residentBytesMax", router.residentBytesMax }, { "waitingRequestsMax", router.waitingRequestsMax } };
    }

    /// @return the largest value of a field over rows, or null when no row has one.
    json largest(const json& rows, const char* field)
    {
        json most = nullptr;
        for (const json& row : rows) {
            if (row[field].is_number() && (most.is_null() || row[field] > most))
                most = row[field];
        }
        return most;
    }

    /// The pool whose gap is nearest to its bound (or beyond it) stands for the run: pools count in units of their own.
    const json* worstPool(const json& pools)
    {
        const json* worst = nullptr;
        double worstShare = -1;
        for (const json& row : pools) {
            if (!row["fairnessGapMax"].is_number())
                continue;
            const double gap = row["fairnessGapMax"];
            const double share
                = row["fairnessGapBound"].is_number() ? gap / row["fairnessGapBound"].get<double>() : gap * 1e-9;
            if (share <= worstShare)
                continue;
            worstShare = share;
            worst = &row;
        }
        return worst;
    }

    void addUtilisation(json& report)
    {
        double offered = 0;
        double idle = 0;
        for (const json& row : report["pools"]) {
            offered += row["slotSecondsWhileWaiting"].get<double>();
            idle += row["idleWhileWaitingSeconds"].get<double>();
        }
        report["utilisation"] = numberOrNull(offered > 0, (offered - idle) / offered);
        report["idleWhileWaitingSeconds"] = idle;
    }

    /// New work after a leave was accepted: how long after it the target's last start was, by the target's own record.
    json newWorkAfterLeave(const Sampler& sampler)
    {
        json worst = nullptr;
        for (const auto& it : sampler.targets()) {
            const TargetFindings& target = it.second;
            if (!target.leaveAcceptedAtUnix)
                continue;
            const std::int64_t after
                = std::max<std::int64_t>(0, (target.lastStartAtUnix - *target.leaveAcceptedAtUnix).count());
            if (worst.is_null() || after > worst.get<std::int64_t>())
                worst = after;
        }
        return worst;
    }

    json configInForce(const Sampler& sampler)
    {
        json worst = nullptr;
        for (const ScriptEvent& it : sampler.events()) {
            if (it.event == "config-in-force" && (worst.is_null() || it.milliseconds > worst.get<double>()))
                worst = it.milliseconds;
        }
        return worst;
    }

    json eventRows(const Sampler& sampler)
    {
        json rows = json::array();
        for (const ScriptEvent& it : sampler.events())
            rows.push_back({ { "atUnixMs", it.atUnix.count() }, { "event", it.event }, { "target", it.target },
                { "text", it.text }, { "milliseconds", it.milliseconds } });
        return rows;
    }

    json definitions()
    {
        return {
            { "fairnessGapMax",
                "largest |(service_i - service_i at t0) / weight_i - (service_j - service_j at t0) / weight_j| over "
                "all samples and pairs "
                "of customers in a pool, service as the targets count it, t0 the first sample since which both are "
                "backlogged; "
                "backlogged: in each sampling interval the least number outstanding exceeds the number running at both "
                "ends. Of the "
                "pool nearest to its bound; pools[] has each" },
            { "fairnessGapAnyIntervalMax",
                "as fairnessGapMax, but over any interval inside that time, not only from t0" },
            { "utilisation",
                "busy over offered slot time in the intervals in which work of that pool waited throughout" },
            { "idleWhileWaitingSeconds", "offered less busy slot time in those intervals" },
            { "controlBytesPerSecondMax",
                "mean over the run of the router with the most, both directions, by the routers' own count" },
            { "waitMsP95PerCustomer",
                "from the first send to the first token (streamed) or the whole answer (whole), completed requests "
                "only" },
            { "newWorkAfterLeaveMs",
                "from the accepted leave to the leaving target's last start, by the target's own record" },
            { "unknown", "includes cutOff: connections that ended without an outcome" },
        };
    }

} // namespace

ReportInput makeReportInput(
    const Plan& plan, const Callers& callers, const Sampler& sampler, std::chrono::duration<double> elapsed)
{
    ReportInput input { plan, callers, sampler, {}, {}, elapsed };
    for (const RequestRecord& it : callers.findings().records) {
        const unsigned runs = sampler.runs().runs(it.tag);
        input.total.add(it, runs);
        input.byCustomer[it.customer].add(it, runs);
    }
    return input;
}

json reportDocument(const ReportInput& input)
{
    json report = tallyDocument(input.total);
    report["scenario"] = input.plan.scenario;
    report["deployment"] = input.plan.deployment;
    report["policy"] = input.plan.policy;
    report["seed"] = input.plan.seed;
    report["routers"] = input.plan.routers.size();
    report["elapsedSeconds"] = input.elapsed.count();
    report["arrivalsLeftOut"] = input.callers.findings().arrivalsLeftOut;
    report["customers"] = customerRows(input);
    report["pools"] = json::array();
    for (const auto& it : input.sampler.pools())
        report["pools"].push_back(poolRow(it.first, it.second));
    report["routerRows"] = json::array();
    for (const auto& it : input.sampler.routers())
        report["routerRows"].push_back(routerRow(it.first, it.second));
    const json* worst = worstPool(report["pools"]);
    report["fairnessGapMax"] = worst ? (*worst)["fairnessGapMax"] : json(nullptr);
    report["fairnessGapBound"] = worst ? (*worst)["fairnessGapBound"] : json(nullptr);
    report["routerFairnessGapMax"] = worst ? (*worst)["routerFairnessGapMax"] : json(nullptr);
    addUtilisation(report);
    report["controlBytesPerSecondMax"] = largest(report["routerRows"], "controlBytesPerSecond");
    report["controlBytesPerSecondPeak"] = largest(report["routerRows"], "controlBytesPerSecondPeak");
    report["controlCpuFractionMax"] = largest(report["routerRows"], "controlCpuFraction");
    report["residentBytesMax"] = largest(report["routerRows"], "residentBytesMax");
    report["firstTokenMsP95"] = milliseconds(input.callers.findings().firstToken.at(ninetyFifth));
    report["tokenGapMsP95"] = milliseconds(input.callers.findings().tokenGap.at(ninetyFifth));
    report["waitMsP95PerCustomer"] = json::object();
    for (const json& row : report["customers"])
        report["waitMsP95PerCustomer"][row["customer"].get<std::string>()] = row["waitMsP95"];
    report["configInForceMsMax"] = configInForce(input.sampler);
    report["newWorkAfterLeaveMs"] = newWorkAfterLeave(input.sampler);
    report["events"] = eventRows(input.sampler);
    report["right"] = input.total.right();
    report["definitions"] = definitions();
    return report;
}

} // namespace sagechute::load
