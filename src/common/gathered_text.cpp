#include "common/gathered_text.hpp"

#include <utility>

namespace dandelionstep {
namespace {

// A text may hold a quarter of what all texts leave free: one alone gets a fifth of the budget, and hundreds
// that grow without end together still leave room for short ones.
constexpr std::size_t free_bytes_per_byte = 4;

} // namespace

bool may_grow(const byte_budget& budget, std::size_t size, std::size_t more)
{
    if (budget.held + more > budget.most) {
        return false;
    }
    const std::size_t free = budget.most - budget.held - more;
    return size + more <= free / free_bytes_per_byte;
}

bool gathered_text::append(std::string_view part)
{
    if (!may_grow(*this->budget, this->gathered.size(), part.size())) {
        return false;
    }
    this->gathered += part;
    this->budget->held += part.size();
    return true;
}

std::string gathered_text::take()
{
    this->release();
    return std::exchange(this->gathered, {});
}

void gathered_text::release()
{
    this->budget->held -= this->gathered.size();
}

} // namespace dandelionstep
