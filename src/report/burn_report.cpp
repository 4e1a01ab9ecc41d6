#include "report/burn_report.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "common/json.hpp"

#include <algorithm>
#include <array>

namespace dandelionstep {
namespace {

constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t day_ms = 24 * hour_ms;
constexpr int plotted_hours = 24;

struct burn_window {
    const char* name = "";
    milliseconds length;
};

constexpr std::array windows{
    burn_window{"5m", {5 * minute_ms}},
    burn_window{"1h", {hour_ms}},
    burn_window{"6h", {6 * hour_ms}},
    burn_window{"3d", {3 * day_ms}},
};

// The usual pair of alerts: 2 % of a month's budget within an hour, 10 % within three days.
constexpr double fast_rate = 14.4;
constexpr double slow_rate = 1;

double rate_of(const event_counts& counts, double target)
{
    const std::int64_t all = counts.good + counts.bad;
    return all == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(all) / (1 - target);
}

std::string alert_of(const std::vector<burn_rate>& rates)
{
    if (rates[0].rate >= fast_rate && rates[1].rate >= fast_rate) {
        return "page";
    }
    return rates[2].rate >= slow_rate && rates[3].rate >= slow_rate ? "ticket" : "ok";
}

std::vector<double> hourly_rates(const burn_series& series, double target, wall_time now)
{
    std::vector<double> rates;
    const std::int64_t current = now.count / hour_ms;
    for (std::int64_t hour = current - plotted_hours + 1; hour <= current; ++hour) {
        const auto found = series.hours.find(hour);
        rates.push_back(found == series.hours.end() ? 0 : rate_of(found->second, target));
    }
    return rates;
}

burn_row row_of(const burn_key& key, const burn_series& series, double target, wall_time now)
{
    burn_row row{.key = key, .target = target};
    row.month = counts_within(series, {30 * day_ms}, now);
    row.budget_left = 1 - rate_of(row.month, target);
    for (const burn_window& window : windows) {
        row.rates.push_back({window.name, rate_of(counts_within(series, window.length, now), target)});
    }
    row.hourly = hourly_rates(series, target, now);
    row.alert = alert_of(row.rates);
    return row;
}

std::string escape_html(const std::string& text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

// Bars of the last hours; the line marks the rate that spends exactly the budget.
std::string plot(const burn_row& row)
{
    constexpr double bar_width = 10;
    constexpr double height = 48;
    const double most = std::max(2.0, *std::ranges::max_element(row.hourly));
    std::string svg =
        absl::StrFormat("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"burn rate by hour\">",
                        static_cast<int>(bar_width * plotted_hours), static_cast<int>(height));
    for (std::size_t i = 0; i < row.hourly.size(); ++i) {
        const double bar = row.hourly[i] / most * height;
        absl::StrAppend(
            &svg, absl::StrFormat("<rect x=\"%.0f\" y=\"%.1f\" width=\"%.0f\" height=\"%.1f\" class=\"%s\"/>",
                                  static_cast<double>(i) * bar_width, height - bar, bar_width - 2, bar,
                                  row.hourly[i] > 1 ? "over" : "within"));
    }
    const double budget_line = height - height / most;
    absl::StrAppend(&svg,
                    absl::StrFormat("<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/></svg>",
                                    static_cast<int>(bar_width * plotted_hours), budget_line, budget_line));
    return svg;
}

constexpr const char* html_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2), td:last-child { text-align: left; }
rect.within { fill: #4a7; } rect.over { fill: #c43; } line { stroke: #555; stroke-dasharray: 3 2; }
.page { background: #fdd; } .ticket { background: #ffd; }
</style></head><body><h1>Service-level burn</h1>
<p>A burn rate of 1 spends exactly the error budget of 30 days; the dashed line marks it.</p>
)";

} // namespace

std::vector<burn_row> burn_rows(const burn_table& table, const service_levels& levels, wall_time now)
{
    std::vector<burn_row> rows;
    for (const auto& [key, series] : table) {
        const auto level = levels.find(key.service);
        rows.push_back(
            row_of(key, series, level == levels.end() ? service_level{}.target : level->second.target, now));
    }
    return rows;
}

json to_json(const burn_report& report)
{
    json rows = json::array();
    for (const burn_row& row : report.rows) {
        json rates = json::object();
        for (const burn_rate& rate : row.rates) {
            rates[rate.window] = rate.rate;
        }
        rows.push_back({{"service", row.key.service},
                        {"organisation", row.key.organisation.value},
                        {"target", row.target},
                        {"good", row.month.good},
                        {"bad", row.month.bad},
                        {"budget_left", row.budget_left},
                        {"burn_rates", rates},
                        {"alert", row.alert}});
    }
    return {{"rows", rows}, {"missing", report.missing}};
}

std::string to_text(const burn_report& report)
{
    std::string text =
        absl::StrFormat("%-20s %-20s %7s %9s %7s %8s %7s %7s %7s %7s  %s\n", "service", "organisation",
                        "target", "good", "bad", "left", "5m", "1h", "6h", "3d", "alert");
    for (const burn_row& row : report.rows) {
        absl::StrAppend(
            &text, absl::StrFormat("%-20s %-20s %7.3f %9d %7d %7.1f%% %7.2f %7.2f %7.2f %7.2f  %s\n",
                                   row.key.service, row.key.organisation.value, row.target, row.month.good,
                                   row.month.bad, row.budget_left * 100, row.rates[0].rate, row.rates[1].rate,
                                   row.rates[2].rate, row.rates[3].rate, row.alert));
    }
    for (const std::string& what : report.missing) {
        absl::StrAppend(&text, "missing: ", what, "\n");
    }
    return text;
}

std::string to_html(const burn_report& report)
{
    std::string page = html_head;
    for (const std::string& what : report.missing) {
        absl::StrAppend(&page, "<p class=\"ticket\">Missing: ", escape_html(what), "</p>\n");
    }
    absl::StrAppend(
        &page, "<table><tr><th>service</th><th>organisation</th><th>target</th><th>good</th><th>bad</th>",
        "<th>budget left</th><th>5m</th><th>1h</th><th>6h</th><th>3d</th><th>alert</th>",
        "<th>last 24 hours</th></tr>\n");
    for (const burn_row& row : report.rows) {
        absl::StrAppend(&page, "<tr class=\"", row.alert, "\"><td>", escape_html(row.key.service),
                        "</td><td>", escape_html(row.key.organisation.value), "</td>",
                        absl::StrFormat("<td>%.3f</td><td>%d</td><td>%d</td><td>%.1f%%</td>", row.target,
                                        row.month.good, row.month.bad, row.budget_left * 100));
        for (const burn_rate& rate : row.rates) {
            absl::StrAppend(&page, absl::StrFormat("<td>%.2f</td>", rate.rate));
        }
        absl::StrAppend(&page, "<td>", row.alert, "</td><td>", plot(row), "</td></tr>\n");
    }
    absl::StrAppend(&page, "</table></body></html>\n");
    return page;
}

} // namespace dandelionstep
