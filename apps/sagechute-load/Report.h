#pragma once

/// @file
/// The JSON report and the table for people.

#include "Sampler.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace sagechute::load {

/// Everything that a report is made of.
struct ReportInput {
    const Plan& plan;
    const Callers& callers;
    const Sampler& sampler;
    Tally total;
    std::map<CustomerId, Tally> byCustomer;
    std::chrono::duration<double> elapsed { 0 };
};

/// Joins the callers' records with the targets' run counts.
ReportInput makeReportInput(const Plan&, const Callers&, const Sampler&, std::chrono::duration<double> elapsed);

/// @return the report; a field that was not measured is null.
nlohmann::json reportDocument(const ReportInput&);

/// Writes the table, at most 80 columns wide.
void printTable(std::ostream&, const nlohmann::json& report);

} // namespace sagechute::load
