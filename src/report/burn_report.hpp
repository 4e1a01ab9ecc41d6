#pragma once

#include "report/burn_series.hpp"
#include "report/service_level.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! How fast the error budget is being spent in one window; 1 spends exactly the budget.
struct burn_rate {
    const char* window = "";
    double rate = 0;
};

//! The standing of one service for one organisation.
struct burn_row {
    burn_key key;
    double target = 0;
    event_counts month{};
    //! Share of the month's error budget that is left; below 0 when it is overspent.
    double budget_left = 1;
    std::vector<burn_rate> rates{};
    //! Burn rate of each of the last 24 hours, oldest first.
    std::vector<double> hourly{};
    //! "page" when both fast windows burn too fast, "ticket" when both slow ones do, else "ok".
    std::string alert{};
};

//! A burn report, merged over all daemons that could be read.
struct burn_report {
    std::vector<burn_row> rows;
    //! What is not in the report, in words.
    std::vector<std::string> missing;
};

using service_levels = std::map<std::string, service_level>;

//! The rows of a merged table; services without a declared level count with the default one.
std::vector<burn_row> burn_rows(const burn_table& table, const service_levels& levels, wall_time now);

json to_json(const burn_report& report);
std::string to_text(const burn_report& report);
//! One self-contained page with a plot for each row.
std::string to_html(const burn_report& report);

} // namespace dandelionstep
