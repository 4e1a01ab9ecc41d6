#include "load_report.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <fstream>
#include <sstream>

namespace dandelionstep::load {
namespace {

namespace bh = boost::histogram;

constexpr std::int64_t ms_per_second = 1000;

auto make_latency_histogram()
{
    constexpr unsigned bins = 600;
    constexpr double least_ms = 1;
    constexpr double most_ms = 100'000;
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(bins, least_ms, most_ms));
}

using latency_histogram = decltype(make_latency_histogram());

// The upper edge of the bin in which the share is reached; what is under the axis counts as its lower end.
double percentile(const latency_histogram& histogram, double share)
{
    double total = 0;
    for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
        total += *bin;
    }
    double sum = 0;
    for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
        sum += *bin;
        if (total > 0 && sum >= share * total) {
            return bin.bin(0).upper();
        }
    }
    return 0;
}

bool is_good(const load_plan& plan, const answered& each)
{
    return each.whole && each.end - each.asked.at <= plan.window;
}

bool is_measured(const load_plan& plan, milliseconds at)
{
    return at > plan.warm_up && at <= plan.duration;
}

void write_plot(const load_plan& plan, const load_figures& figures)
{
    constexpr double width = 800;
    constexpr double height = 300;
    constexpr double margin = 40;
    double most = std::max(plan.bound, 1.0);
    for (const double rate : figures.good_by_second) {
        most = std::max(most, rate);
    }
    const double step = width / static_cast<double>(std::max<std::size_t>(figures.good_by_second.size(), 1));
    const auto y = [&](double rate) { return margin + height * (1 - rate / most); };
    std::ofstream svg(plan.output_prefix + ".svg");
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width + 2 * margin << "\" height=\""
        << height + 2 * margin << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<text x=\"" << margin << "\" y=\"20\">" << plan.title
        << ": tokens a second of whole answers (line), bound (dashed)</text>\n<polyline fill=\"none\" "
           "stroke=\"steelblue\" stroke-width=\"2\" points=\"";
    for (std::size_t i = 0; i < figures.good_by_second.size(); ++i) {
        svg << margin + (static_cast<double>(i) + 0.5) * step << "," << y(figures.good_by_second[i]) << " ";
    }
    svg << "\"/>\n<line x1=\"" << margin << "\" x2=\"" << margin + width << "\" y1=\"" << y(plan.bound)
        << "\" y2=\"" << y(plan.bound) << "\" stroke=\"firebrick\" stroke-dasharray=\"6 4\"/>\n<line x1=\""
        << margin << "\" x2=\"" << margin + width << "\" y1=\"" << y(0) << "\" y2=\"" << y(0)
        << "\" stroke=\"black\"/>\n<text x=\"" << margin << "\" y=\"" << margin + height + 20 << "\">0 s to "
        << plan.duration.count / ms_per_second << " s; top is " << most
        << " tokens a second</text>\n</svg>\n";
}

void write_trace(const load_plan& plan, const std::vector<answered>& results)
{
    std::ofstream trace(plan.output_prefix + ".trace");
    trace << "at_ms daemon tokens first_token_ms end_ms result\n";
    for (const answered& each : results) {
        const char* result = each.whole ? "whole" : each.refused ? "refused" : "failed";
        trace << each.asked.at.count << " " << each.asked.daemon << " " << each.asked.tokens << " "
              << each.first_token.count << " " << each.end.count << " " << result << "\n";
    }
}

} // namespace

load_figures figures_of(const load_plan& plan, const std::vector<answered>& results)
{
    load_figures figures;
    figures.requests = results.size();
    figures.good_by_second.resize(static_cast<std::size_t>(plan.duration.count / ms_per_second));
    latency_histogram first_tokens = make_latency_histogram();
    latency_histogram gaps = make_latency_histogram();
    double measured = 0;
    for (const answered& each : results) {
        const bool good = is_good(plan, each);
        figures.whole += good ? 1 : 0;
        figures.late += each.whole && !good ? 1 : 0;
        figures.refused += each.refused ? 1 : 0;
        figures.failed += !each.whole && !each.refused ? 1 : 0;
        if (each.first_token.count >= 0) {
            first_tokens(static_cast<double>((each.first_token - each.asked.at).count));
        }
        for (std::size_t i = 0; i < each.tokens.size(); ++i) {
            if (i > 0) {
                gaps(static_cast<double>((each.tokens[i] - each.tokens[i - 1]).count));
            }
            const auto second = static_cast<std::size_t>(each.tokens[i].count / ms_per_second);
            if (good && second < figures.good_by_second.size()) {
                figures.good_by_second[second] += 1;
            }
            measured += good && is_measured(plan, each.tokens[i]) ? 1 : 0;
        }
    }
    figures.good_tokens_per_second =
        measured * ms_per_second / static_cast<double>((plan.duration - plan.warm_up).count);
    figures.ratio = plan.bound > 0 ? figures.good_tokens_per_second / plan.bound : 0;
    constexpr double half = 0.5;
    constexpr double most = 0.95;
    figures.p50_first_token_ms = percentile(first_tokens, half);
    figures.p95_first_token_ms = percentile(first_tokens, most);
    figures.p50_token_gap_ms = percentile(gaps, half);
    figures.p95_token_gap_ms = percentile(gaps, most);
    return figures;
}

std::string figures_line(const load_plan& plan, const load_figures& figures)
{
    std::ostringstream line;
    line << "title=" << plan.title << " seed=" << plan.seed << " bound=" << plan.bound
         << " requests_per_second=" << plan.requests_per_second << " ratio=" << figures.ratio
         << " good_tokens_per_second=" << figures.good_tokens_per_second << " requests=" << figures.requests
         << " whole=" << figures.whole << " late=" << figures.late << " refused=" << figures.refused
         << " failed=" << figures.failed << " p50_first_token_ms=" << figures.p50_first_token_ms
         << " p95_first_token_ms=" << figures.p95_first_token_ms
         << " p50_token_gap_ms=" << figures.p50_token_gap_ms
         << " p95_token_gap_ms=" << figures.p95_token_gap_ms;
    return line.str();
}

void write_report(const load_plan& plan, const load_figures& figures, const std::vector<answered>& results)
{
    std::ofstream text(plan.output_prefix + ".txt");
    text << figures_line(plan, figures) << "\nsecond good_tokens ratio\n";
    for (std::size_t i = 0; i < figures.good_by_second.size(); ++i) {
        text << i << " " << figures.good_by_second[i] << " "
             << (plan.bound > 0 ? figures.good_by_second[i] / plan.bound : 0) << "\n";
    }
    write_trace(plan, results);
    write_plot(plan, figures);
}

} // namespace dandelionstep::load
