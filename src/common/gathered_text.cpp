#include "common/gathered_text.hpp"

#include <utility>

namespace dandelionstep {
namespace {

// A text may hold a quarter of what all texts leave free: one alone gets a fifth of the budget, and hundreds
// that grow without end together still leave room for short ones.
constexpr std::size_t free_bytes_per_byte = 4;
// Small parts are joined up to this size.
constexpr std::size_t piece_bytes = 4096;

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
    if (!may_grow(*this->budget, this->bytes, part.size())) {
        return false;
    }
    if (!this->pieces.empty() && this->pieces.back().size() + part.size() <= piece_bytes) {
        this->pieces.back() += part;
    } else {
        this->pieces.emplace_back(part);
    }
    this->bytes += part.size();
    this->budget->held += part.size();
    return true;
}

std::string gathered_text::text() const
{
    std::string whole;
    whole.reserve(this->bytes);
    for (const std::string& piece : this->pieces) {
        whole += piece;
    }
    return whole;
}

std::string gathered_text::take()
{
    std::string whole = this->text();
    this->release();
    return whole;
}

void gathered_text::release()
{
    this->budget->held -= std::exchange(this->bytes, 0);
    this->pieces.clear();
}

} // namespace dandelionstep
