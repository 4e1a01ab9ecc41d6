#include "vm/nearest_name.hpp"

#include <algorithm>
#include <numeric>

namespace dandelionstep {
namespace {

// Levenshtein distance, computed row by row.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0U : 1U);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

} // namespace

std::string nearest_name(std::string_view name, const std::vector<std::string>& known)
{
    constexpr std::size_t max_edits = 6;
    std::string nearest;
    std::size_t least = max_edits + 1;
    for (const std::string& candidate : known) {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < least) {
            least = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace dandelionstep
